//! Configuration: what operators declared, as one version of the whole.
//!
//! [`apply`] is the only way from one [`Snapshot`] to the next. A change is validated against the
//! whole it would lead to and is accepted as a whole or not at all.

mod apply;
mod check;
mod document;
mod state;
pub mod storage;

use apply::replay;

pub use apply::apply;
pub use document::{change_from_json, from_json, from_value, from_yaml};
pub use state::{ChangeSet, Deletion, KeyHash, KeyHashError, Snapshot};
