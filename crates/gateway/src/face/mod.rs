//! The callers' side: connections, admission and carrying requests through.

mod access;
mod body;
mod call;
mod connections;
mod driver;
mod headers;
mod reply;

pub(crate) use access::AccessEntry;
pub(crate) use body::{Aborted, Body, frames, full};
pub(crate) use call::Call;
pub(crate) use connections::serve;
pub(crate) use driver::{Answered, Driver, Failed, handle};
pub(crate) use headers::{endpoint_request, response_head};
pub(crate) use reply::{QUARANTINED, Reply};
