//! Who may dispatch: records in the key-value service, each created at most once.
//!
//! A request's key and the time in its identifier name a [`Slot`]: one bucket of one time slice. A
//! slot is a row of [`Part`]s, the values of consecutive keys. Only the last part grows, by
//! compare-and-swap; a full one is sealed in the write that fills it. So a record that stands in a
//! slot is seen by every later write to the slot, whoever makes it, and two daemons that write to
//! one slot at once conflict and merge.
//!
//! [`Commit`] takes a batch of records through reads, writes, conflicts and lost answers to an
//! outcome for each. [`Retention`] keeps an identifier from being used after its slot may have
//! been deleted.

mod commit;
mod coverage;
mod event;
mod layout;
mod ledger;
mod outcome;
mod pacing;
mod part;
mod retention;
mod row;
mod slot;
mod step;

pub use commit::Commit;
pub use coverage::Coverage;
pub use event::{Event, Stored};
pub use layout::Layout;
pub use ledger::Ledger;
pub use outcome::Outcome;
pub use pacing::commit_at;
pub use part::Part;
pub use retention::Retention;
pub use row::Row;
pub use slot::Slot;
pub use step::Step;
