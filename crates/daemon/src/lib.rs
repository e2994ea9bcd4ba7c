//! The services of the daemon.

pub mod config;
pub mod endpoints;
pub mod hosts;
pub mod operators;
