//! Resources that operators declare, and their status.

mod client_account;
mod endpoint;
mod endpoint_pool;
mod engine_order;
mod kind;
mod planned_stop;
mod resource_key;
mod spec;
mod status;
mod tier;

pub use client_account::ClientAccountSpec;
pub use endpoint::EndpointSpec;
pub use endpoint_pool::{EndpointPoolSpec, PoolProtocol};
pub use engine_order::{EngineOrderSpec, OrderAction};
pub use kind::{Kind, UnknownKind};
pub use planned_stop::{PlannedStopSpec, StopTarget};
pub use resource_key::ResourceKey;
pub use spec::{Resource, Spec};
pub use status::{Phase, Status};
pub use tier::TierSpec;
