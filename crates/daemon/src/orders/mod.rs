//! Carries out orders to engines.
//!
//! One daemon at a time does, under a lease in the key-value service whose revision is the fencing
//! token. What is sent when is decided in `trefoildyke_decide::orders`.

mod ended;
mod handle;
mod keys;
mod lease;
mod lease_clock;
mod send;
mod service;
mod settings;

pub use ended::Ended;
pub use handle::{Handle, Sources, new};
pub use lease_clock::LeaseClock;
pub use service::Service;
pub use settings::Settings;
