//! Connections to endpoints.

mod link;
mod links;
mod send;

pub(crate) use link::Link;
pub(crate) use links::Links;
pub(crate) use send::{Answer, SendError, send};
