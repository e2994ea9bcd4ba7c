//! The membership service: the set of daemons, and the configuration version that all of them apply.
//!
//! The protocol is in [`trefoildyke_decide::members`]; this service supplies time, randomness and
//! connections.

mod command;
mod handle;
mod reached_versions;
mod runner;
mod sources;

pub use handle::{Handle, new};
pub use reached_versions::ReachedVersions;
pub use runner::Runner;
pub use sources::Sources;
