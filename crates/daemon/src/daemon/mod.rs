//! A complete daemon: starts its services in order and stops them gracefully.

mod addresses;
mod drain;
mod listeners;
mod progress;
mod routes;
mod servers;
mod services;
mod start;

pub use addresses::Addresses;
pub use start::Daemon;
