//! The recovery of a pool from short disturbances, in virtual time through the gateway's decisions.
//!
//! Nothing is random: a run repeats exactly.

mod disturbance;
mod simulation;
mod table;

pub use disturbance::{Disturbance, Kind};
pub use simulation::recovery_ms;
pub use table::{LENGTHS_MS, Row, rows, svg};
