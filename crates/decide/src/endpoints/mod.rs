//! Which endpoints of a pool shard get work.
//!
//! [`Standings`] combines what the configuration, the platform's host list and the endpoints
//! themselves say, and tells the shard's scheduler what changed. `docs/design/endpoints.md` tells
//! which ways were weighed and how long a change takes.

mod hosts;
mod known;
mod params;
mod shard_of;
mod standings;

pub use hosts::Hosts;
pub use params::Params;
pub use shard_of::shard_of;
pub use standings::Standings;
