//! Clients for the platform's key-value service and host list.

mod health;
mod hosts_client;
mod kv_client;
mod kv_settings;
pub mod message;
mod watch_error;
mod write_error;

pub use health::{Health, HealthTracker};
pub use hosts_client::HostsClient;
pub use kv_client::KvClient;
pub use kv_settings::KvSettings;
pub use watch_error::WatchError;
pub use write_error::WriteError;
