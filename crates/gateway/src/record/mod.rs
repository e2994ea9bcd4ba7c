//! Structured log lines.

mod event;
mod journal;

pub use event::{Asked, Event, Tried};
pub use journal::{Dropped, Journal};
