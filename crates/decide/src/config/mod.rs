//! The configuration that operators declare, as a sequence of versioned snapshots.
//!
//! Only [`apply`] accepts a change and creates the next [`Snapshot`]. A change is validated against the
//! complete configuration that would result from it. It is accepted completely or not at all.

mod apply;
mod check;
mod document;
mod state;
pub mod storage;

use apply::replay;

pub use apply::apply;
pub use document::{change_from_json, from_json, from_value, from_yaml};
pub use state::{ChangeSet, Deletion, KeyHash, KeyHashError, Snapshot};
