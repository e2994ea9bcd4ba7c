//! The configuration service, which holds the current configuration and adopts new versions.
//!
//! - [`Handle::write`] makes a change by one compare-and-swap in the key-value service.
//! - A few daemons, selected by rendezvous hashing, watch the key-value service.
//! - The other daemons are told of a new version by their peers and read the changes from a peer.
//!
//! The current version only increases, even if the key-value service or a peer reports an older one.

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
pub use peers::{AnnouncedVersion, Peers, RequestChanges};
pub use service::{Keeper, new};
pub use settings::Settings;
