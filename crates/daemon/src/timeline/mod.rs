//! The timeline: a bounded log of this daemon's state changes.
//!
//! Operators read the timeline of every daemon and merge them by the logical clock of the events.

mod handle;

pub use handle::Handle;
