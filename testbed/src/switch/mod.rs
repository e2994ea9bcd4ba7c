//! Switches a stand-in between working and the ways in which the real system fails.

mod mode;
mod table;

pub use mode::{Mode, ModeKind};
pub use table::Switch;
