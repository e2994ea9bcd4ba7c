//! The operator API: messages and a client that tries several daemons.

mod client;
pub mod message;

pub use client::{Client, Watch};
