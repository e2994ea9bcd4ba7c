//! Watches the endpoints of the pool shards that this daemon schedules.
//!
//! For each shard the schedule service runs one [`Watcher`], which tells it which endpoints get
//! work and passes on their load reports and cache events. What counts is decided in
//! `trefoildyke_decide::endpoints`.

mod handle;
mod polled;
mod poller;
mod settings;
mod shard;
mod watcher;

pub use handle::{Handle, new};
pub use settings::Settings;
pub use shard::Shard;
pub use watcher::Watcher;
