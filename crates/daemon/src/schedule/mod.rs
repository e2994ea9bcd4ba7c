//! The schedule service: permits for pool shards, from local or remote schedulers.
//!
//! Rendezvous hashing over the members picks the daemon that schedules a pool shard. A [`Handle`]
//! asks that daemon, locally or over a peer connection, and asks its successor if it is lost.
//! Reports on running requests go to the scheduler in small batches; a new scheduler is sent all
//! running requests.

mod actor;
mod command;
mod handle;
mod links;
mod local;
mod note;
mod outbox;
mod service;
mod settings;
mod shares;

pub use handle::{Handle, Lost};
pub use links::{AskCall, Links, ReportCall};
pub use note::{Entry, Note};
pub use service::{Service, Sources, create};
pub use settings::Settings;
