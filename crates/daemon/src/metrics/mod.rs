//! The daemon's metrics, exposed in the Prometheus text format.

mod handle;
mod instruments;

pub use handle::Handle;
pub use instruments::Instruments;
