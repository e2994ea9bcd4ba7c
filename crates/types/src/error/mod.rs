//! Typed errors in three parts: the kind, the context and the format.
//!
//! Every message ends with a remedy.

mod context;
mod format;
mod kind;

pub use context::{Context, Error};
pub use kind::ErrorKind;
