//! The endpoints of a shard: their outstanding work, speed and health.

mod endpoint;
mod endpoints;
mod health;
mod speed;

pub(super) use endpoint::Endpoint;
pub(super) use endpoints::Fleet;
pub(super) use health::{Cause, Health};
pub(super) use speed::Speed;
