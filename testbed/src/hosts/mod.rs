//! A stand-in for the platform's list of hosts, which lags behind the truth.

mod history;
mod running;
mod settings;

pub use running::{Running, serve};
pub use settings::Settings;
