//! Connections to endpoints.

mod link;
mod links;
mod send;

pub(crate) use link::{Link, broken};
pub(crate) use links::Links;
pub(crate) use send::{Answer, SendError, send};
