//! The coordinator: accepts requests, dispatches each at most once and keeps the answers readable.
//!
//! `trefoildyke_decide::coordinate` makes every decision; this module carries out the resulting actions.
//! Each request runs in its own task, which does not end when a caller disconnects.

mod buffer;
mod clients;
mod conditions;
mod driver;
mod entry;
mod handle;
mod in_flight;
mod isolation;
mod job;
mod operations;
mod peer_calls;
mod reader;
mod resume;
mod submit;
mod table;

pub use handle::{Dependencies, Handle};
pub use isolation::{Isolation, IsolationMonitor};
pub use peer_calls::{PeerCalls, ReadCall};
