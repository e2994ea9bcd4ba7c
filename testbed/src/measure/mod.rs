//! Measurements of what control costs, for docs/CAPACITY.md.

pub mod config;
pub mod endpoints;
pub mod intents;
pub mod members;
mod process;
pub mod scheduler;
mod table;

pub use process::{Usage, busy_time, process_time, resident_bytes};
