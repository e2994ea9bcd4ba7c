//! Structured log lines.

mod event;
mod journal;

pub use event::{ConfigRead, Event, RequestInputs, TrialStats};
pub use journal::{DropCounter, Journal};
