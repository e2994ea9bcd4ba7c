//! The state of the configuration and its changes.

mod change_set;
mod indices;
mod key_hash;
mod snapshot;

pub use change_set::{ChangeSet, Deletion};
pub use key_hash::{KeyHash, KeyHashError};
pub use snapshot::Snapshot;
