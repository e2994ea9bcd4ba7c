//! Typed errors: kind, context and text form.
//!
//! The text of every error ends with a remedy.

mod context;
mod format;
mod kind;

pub use context::{Context, Error};
pub use kind::ErrorKind;
