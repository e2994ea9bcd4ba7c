//! The endpoints of a shard: what they have to do, how fast they are, whether they can be trusted.

mod endpoint;
mod health;
mod members;
mod rates;

pub(super) use endpoint::Endpoint;
pub(super) use health::{Finding, Health};
pub(super) use members::Fleet;
pub(super) use rates::Rates;
