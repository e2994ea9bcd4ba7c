//! A stand-in for the platform's key-value service.
//!
//! It keeps everything in memory and can be switched to fail; see docs/PROTOCOLS.md.

mod handler;
mod rate;
mod running;
mod settings;
mod stats;
mod store;

pub use running::{Running, serve};
pub use settings::Settings;
pub use stats::Stats;
