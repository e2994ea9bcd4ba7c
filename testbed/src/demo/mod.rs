//! The whole system in one process, on embedded stand-ins.
//!
//! It loads a small configuration, sends a few requests of each tier to every daemon, and shows what
//! happened with the time line over all daemons.

mod report;
mod requests;
mod run;
mod system;

pub use report::{Outcome, Report};
pub use run::run;
