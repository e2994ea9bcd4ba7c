//! Order and place of the requests of one pool shard.
//!
//! [`Shard`] is the whole interface: feed it [`Input`]s with the time at which they came, and carry
//! out the [`Output`]s. It never reads a clock and does no I/O, so the daemon, the experiments in
//! virtual time and the property tests run the same code. `docs/design/scheduler.md` tells which
//! ways were weighed.

mod account_share;
mod adopted;
mod endpoint_info;
mod estimate;
mod fleet;
mod flow;
mod input;
mod lengths;
mod outcome;
mod output;
mod params;
mod permitted;
mod prefix;
mod queue;
mod report;
mod shard;

pub use account_share::AccountShare;
pub use adopted::Adopted;
pub use endpoint_info::EndpointInfo;
pub use input::Input;
pub use outcome::Outcome;
pub use output::Output;
pub use params::Params;
pub use report::Report;
pub use shard::Shard;
