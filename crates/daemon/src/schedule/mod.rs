//! The schedule service: permits for pool shards, from local or remote schedulers.
//!
//! Rendezvous hashing over the members picks the daemon that schedules a pool shard. A [`Handle`]
//! asks that daemon, locally or over a peer connection, and asks its successor if it is lost.
//! Reports on running requests go to the scheduler in small batches; a new scheduler is sent all
//! running requests.

mod actor;
mod command;
mod handle;
mod local;
mod outbox;
mod request_event;
mod scheduler_calls;
mod service;
mod settings;
mod shares;

pub use handle::{Handle, SchedulerLost};
pub use request_event::{Entry, RequestEvent};
pub use scheduler_calls::{AskCall, ReportCall, SchedulerCalls};
pub use service::{Service, Sources, create};
pub use settings::Settings;
