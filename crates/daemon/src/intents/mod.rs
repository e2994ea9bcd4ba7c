//! Records in the key-value service that settle who may dispatch.
//!
//! A [`Handle`] records a request through the owner of its bucket, which commits many daemons'
//! records in one write. Ownership only saves writes: a daemon that cannot reach the owner
//! commits itself, and one that cannot reach the service asks another peer. Two daemons that
//! commit to one bucket at once conflict and merge; see [`trefoildyke_decide::intents`].

mod agreement;
mod committer;
mod driver;
mod export;
mod forwarder;
mod handle;
mod outage;
mod parts;
mod ready;
mod route;
mod service;
mod settings;
mod stats;
mod sweep;
mod waiting;

pub use handle::Handle;
pub use route::{CommitCall, LookUpCall, Owners, Route};
pub use service::{Service, create};
pub use settings::Settings;
pub use stats::{Counts, Stats};
