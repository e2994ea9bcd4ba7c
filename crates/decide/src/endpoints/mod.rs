//! Availability of a pool shard's endpoints.
//!
//! [`EndpointStates`] combines the configuration, the platform's host list and the endpoints' answers,
//! and tells the shard's scheduler about changes. `docs/design/endpoints.md` describes the
//! alternatives that were considered and how long a change takes.

mod endpoint_state;
mod endpoint_states;
mod hosts;
mod params;
mod shard_of;

pub use endpoint_states::EndpointStates;
pub use hosts::Hosts;
pub use params::Params;
pub use shard_of::shard_of;
