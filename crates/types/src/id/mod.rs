//! Identifiers of requests, daemons, resources and writes.

mod incarnation;
mod name;
mod nonce;
mod request_id;
mod request_key;

pub use incarnation::Incarnation;
pub use name::{
    AccountName, EndpointName, HostName, ModelName, PoolName, TierName, VersionName, ZoneName,
};
pub use nonce::Nonce;
pub use request_id::{IdError, RequestId};
pub use request_key::RequestKey;
