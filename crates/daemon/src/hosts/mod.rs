//! Follows the platform's list of hosts for the whole daemon.

mod handle;
mod poller;
mod reading;
mod settings;

pub use handle::{Handle, new};
pub use poller::Poller;
pub use reading::Reading;
pub use settings::Settings;
