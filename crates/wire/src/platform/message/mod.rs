//! Messages to and from the platform, as specified in docs/PROTOCOLS.md.

mod conflict;
mod delete;
mod entry;
mod get;
mod host;
mod lease;
mod list;
mod put;
mod watch;
mod written;

pub use conflict::Conflict;
pub use delete::Delete;
pub use entry::Entry;
pub use get::{Get, GetReply};
pub use host::{Host, HostList, HostRole, HostState};
pub use lease::{Grant, LeaseNumber, LeaseRef};
pub use list::{List, ListReply};
pub use put::Put;
pub use watch::{Watch, WatchEvent, WatchReply};
pub use written::Written;

/// The maximum size of a value, in bytes.
pub const MAX_VALUE: usize = 1 << 20;
