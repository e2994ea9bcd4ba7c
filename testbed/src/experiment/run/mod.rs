//! One run: the arrivals of a seed against one policy in virtual time.

mod agenda;
mod capacity;
mod faults;
mod pool;
mod record;
mod result;
mod simulation;

pub use capacity::capacity;
pub use record::{Outcome, Record};
pub use result::RunResult;
pub use simulation::simulate;
