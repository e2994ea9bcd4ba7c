//! Moves of a service to another version, played in virtual time through the gateway's decisions.
//!
//! Arrivals, lengths, endpoints' speeds and faults are data; a run repeats from its seed.

mod cell;
mod play;
mod table;

pub use cell::{Beside, Cell, Fault, Kind, Onset};
pub use play::{Course, play};
pub use table::{Row, cells, row, svg};
