//! Records of the intent to dispatch a request; each is created at most once in the key-value service.
//!
//! A request's key and the time in its identifier determine a [`Slot`]: one bucket of one time slice. A
//! slot is a sequence of [`Part`]s, the values of consecutive keys. Only the last part grows, by
//! compare-and-swap; a full part is sealed in the write that fills it. Every later write to the slot by
//! any daemon therefore observes all records in the slot. If two daemons write to a slot at the same
//! time, one write conflicts, and its daemon merges its rows with the stored part.
//!
//! [`Commit`] determines the outcome for each record of a batch despite conflicts and lost answers.
//! [`Retention`] prevents an identifier from being used after its slot may have been deleted.

mod commit;
mod coverage;
mod layout;
mod outcome;
mod pacing;
mod part;
mod retention;
mod row;
mod slot;
mod slot_cache;
mod step;
mod step_result;

pub use commit::Commit;
pub use coverage::Coverage;
pub use layout::Layout;
pub use outcome::Outcome;
pub use pacing::next_commit;
pub use part::Part;
pub use retention::Retention;
pub use row::Row;
pub use slot::Slot;
pub use slot_cache::SlotCache;
pub use step::Step;
pub use step_result::{StepResult, Stored};
