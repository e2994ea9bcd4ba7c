//! Structured log lines.

mod event;
mod journal;

pub use event::Event;
pub use journal::{Dropped, Journal};
