//! Traces one request through the log lines of several hosts.

mod entry;
mod trace;

pub use entry::Entry;
pub use trace::trace;
