//! Detection of when planned stops have ended.

mod settled;

pub use settled::{Daemon, settled};
