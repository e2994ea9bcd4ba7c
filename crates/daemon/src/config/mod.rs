//! The configuration service: the version in force and how it becomes the next one.
//!
//! - [`Handle::write`] makes a change by one compare-and-swap in the key-value service.
//! - A few daemons, found by rendezvous hashing, watch the key-value service.
//! - The others learn of a new version from their peers and read the changes from them.
//!
//! The version in force only rises, whatever the key-value service or a peer says.

mod handle;
mod keeper;
mod learner;
mod peers;
mod service;
mod settings;
mod store;
mod watcher;
mod writer;

pub use handle::Handle;
pub use peers::{Newest, Peers, Pull};
pub use service::{Keeper, new};
pub use settings::Settings;
