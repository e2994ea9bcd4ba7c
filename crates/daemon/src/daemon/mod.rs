//! One whole daemon: its services, started in order and stopped gracefully.

mod addresses;
mod drained;
mod faces;
mod listeners;
mod progress;
mod routes;
mod services;
mod start;

pub use addresses::Addresses;
pub use start::Daemon;
