//! The schedule service: permits for pool shards, wherever their schedulers are.
//!
//! One daemon schedules each pool shard, found by rendezvous hashing over the members. A
//! [`Handle`] asks it, here or at a peer, and asks the new one when it is lost. What runs is
//! reported in small batches, and all of it again to a scheduler that did not permit it.

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
