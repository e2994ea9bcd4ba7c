//! Connections to the other daemons: opened on demand, shared, and replaced when they fail or go silent.

mod client;
mod handle;
mod pool;
mod settings;

pub use client::Client;
pub use handle::{Handle, new};
pub use settings::Settings;
