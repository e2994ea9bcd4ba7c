//! The decisions that touched one request, from the log lines of many hosts.

mod entry;
mod story;

pub use entry::Entry;
pub use story::story;
