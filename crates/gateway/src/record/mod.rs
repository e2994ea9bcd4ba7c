//! Structured log lines.

mod event;
mod journal;

pub use event::{Event, RequestInputs, TrialStats};
pub use journal::{DropCounter, Journal};
