//! Planned stops: when one has ended.

mod settled;

pub use settled::{Daemon, settled};
