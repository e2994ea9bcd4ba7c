//! The services that make up a daemon.

pub mod callers;
pub mod clock;
pub mod config;
pub mod coordinate;
pub mod daemon;
pub mod endpoints;
pub mod hosts;
pub mod intents;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod schedule;
pub mod settings;
pub mod timeline;
