//! Records in the key-value service that determine which daemon may dispatch a request.
//!
//! A [`Handle`] records a request through the owner of its bucket, which commits the records of many
//! daemons in one write. Ownership only saves writes: a daemon that cannot reach the owner commits the
//! record itself, and a daemon that cannot reach the key-value service either asks another peer. If two
//! daemons commit to one bucket at the same time, their writes conflict and are merged; see
//! [`trefoildyke_decide::intents`].

mod agreement;
mod availability;
mod commit_queues;
mod committer;
mod driver;
mod export;
mod forwarder;
mod handle;
mod job;
mod parts;
mod route;
mod service;
mod settings;
mod stats;
mod sweep;

pub use handle::Handle;
pub use route::{CommitCall, LookUpCall, Owners, Route};
pub use service::{Service, create};
pub use settings::Settings;
pub use stats::{Counts, Stats};
