//! Measurements of what control costs, for docs/CAPACITY.md.

pub mod members;
mod process;
mod table;

pub use process::{busy_time, resident_bytes};
