//! The order service: carries out orders to engines.
//!
//! One daemon at a time carries out orders. It holds a lease in the key-value service; the revision
//! of the lease key is the fencing token. `trefoildyke_decide::orders` decides what to send and when.

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
