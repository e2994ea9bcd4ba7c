//! Measurements of the daemon, served for scraping.

mod handle;
mod instruments;

pub use handle::Handle;
pub use instruments::Instruments;
