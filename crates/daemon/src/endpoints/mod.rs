//! Watches the endpoints of the pool shards that this daemon schedules.
//!
//! The schedule service runs one [`Watcher`] per shard. The watcher tells it which endpoints may get
//! work, and passes on their load reports and cache events. The rules are in
//! `trefoildyke_decide::endpoints`.

mod handle;
mod poll_result;
mod poller;
mod settings;
mod shard;
mod watcher;

pub use handle::{Handle, new};
pub use settings::Settings;
pub use shard::Shard;
pub use watcher::Watcher;
