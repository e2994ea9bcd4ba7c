//! Runs complete systems as processes.

pub(crate) mod caller;
mod cluster;
pub(crate) mod layout;
mod outcome;
mod process;
mod wait;

pub(crate) use caller::Caller;
pub(crate) use cluster::Cluster;
pub(crate) use layout::Layout;
pub(crate) use outcome::Outcome;
pub(crate) use process::Process;
pub(crate) use wait::{WAIT_TIMEOUT, wait_until};
