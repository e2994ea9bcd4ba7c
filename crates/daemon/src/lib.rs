//! The services of the daemon.

pub mod config;
pub mod operators;
