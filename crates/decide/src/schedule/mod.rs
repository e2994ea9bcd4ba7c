//! Scheduling of one pool shard's requests: in which order they run, and on which endpoint.
//!
//! [`Shard`] is the whole interface: pass it each [`Input`] with the time at which it arrived, and
//! carry out the returned [`Output`]s. It never reads a clock and does no I/O, so the daemon, the
//! experiments in virtual time and the property tests run the same code. `docs/design/scheduler.md`
//! describes the alternatives that were considered.

mod account_share;
mod endpoint_info;
mod estimate;
mod fleet;
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
mod taken_over;
mod work_rates;

pub use account_share::AccountShare;
pub use endpoint_info::EndpointInfo;
pub use input::Input;
pub use outcome::Outcome;
pub use output::Output;
pub use params::Params;
pub use report::Report;
pub use shard::Shard;
pub use taken_over::TakenOver;
