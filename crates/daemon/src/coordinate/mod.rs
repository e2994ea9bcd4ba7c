//! The coordinator: takes requests, dispatches each at most once and keeps the answers readable.
//!
//! Every decision is made by `trefoildyke_decide::coordinate`; this module carries the actions out.
//! A request runs in a task of its own, which no caller's connection can end.

mod busy;
mod clients;
mod conditions;
mod driver;
mod entry;
mod handle;
mod isolation;
mod job;
mod kept;
mod links;
mod operations;
mod reader;
mod resume;
mod submit;
mod table;

pub use handle::{Handle, Sources};
pub use isolation::{Isolation, Watch};
pub use links::{Links, ReadCall};
