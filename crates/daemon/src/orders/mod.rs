//! The order service: carries out orders to engines.
//!
//! One daemon at a time carries out orders. It holds a lease in the key-value service; the revision
//! of the lease key is the fencing token. `trefoildyke_decide::orders` decides what to send and when.

mod handle;
mod keys;
mod lease;
mod lease_clock;
mod order_record;
mod send;
mod service;
mod settings;

pub use handle::{Handle, Sources, new};
pub use lease_clock::LeaseClock;
pub use order_record::OrderRecord;
pub use service::Service;
pub use settings::Settings;
