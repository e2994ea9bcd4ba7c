//! Tests of the coordinator's decisions.

mod admit;
pub(crate) mod fixture;
mod request_state;
