//! Structured log lines.

mod event;
mod journal;
mod outcome;

pub use event::{ConfigRead, Event, RequestInputs, TrialStats};
pub use journal::{DropCounter, Journal};
pub use outcome::{EndedBy, Outcome};
