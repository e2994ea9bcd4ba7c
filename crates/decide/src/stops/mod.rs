//! Detection of when planned stops have ended.

mod settled_version;

pub use settled_version::{Daemon, settled_version};
