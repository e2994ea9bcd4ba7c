//! The service that polls the platform's host list for all services of the daemon.

mod handle;
mod poller;
mod reading;
mod settings;

pub use handle::{Handle, new};
pub use poller::Poller;
pub use reading::Reading;
pub use settings::Settings;
