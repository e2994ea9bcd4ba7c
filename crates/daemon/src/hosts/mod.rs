//! The service that polls the platform's host list for all services of the daemon.

mod handle;
mod hosts_read;
mod poller;
mod settings;

pub use handle::{Handle, new};
pub use hosts_read::HostsRead;
pub use poller::Poller;
pub use settings::Settings;
