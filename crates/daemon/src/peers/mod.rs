//! Connections to the other daemons: opened when needed, shared, and replaced when silent.

mod client;
mod handle;
mod pool;
mod settings;

pub use client::Client;
pub use handle::{Handle, new};
pub use settings::Settings;
