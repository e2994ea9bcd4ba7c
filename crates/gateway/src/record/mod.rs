//! Structured log lines.

mod event;
mod journal;

pub use event::{Asked, Event};
pub use journal::{Dropped, Journal};
