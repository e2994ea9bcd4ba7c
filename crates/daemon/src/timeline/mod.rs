//! The time line: a bounded record of this daemon's state changes.
//!
//! Operators read it from every daemon and merge the parts by the logical clock.

mod handle;

pub use handle::Handle;
