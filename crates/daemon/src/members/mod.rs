//! The membership service: who is there, and which configuration version is in force everywhere.
//!
//! The decisions are in [`trefoildyke_decide::members`]; this service gives them time, randomness
//! and connections.

mod command;
mod handle;
mod in_force;
mod runner;
mod sources;

pub use handle::{Handle, new};
pub use in_force::InForce;
pub use runner::Runner;
pub use sources::Sources;
