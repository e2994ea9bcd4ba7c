//! The callers' side: connections, admission and the course of a request.

mod body;
mod call;
mod connections;
mod course;
mod headers;
mod reply;
mod trail;

pub(crate) use body::{Aborted, Body, frames, full};
pub(crate) use call::Call;
pub(crate) use connections::serve;
pub(crate) use course::{Answered, Course, Failed, handle};
pub(crate) use headers::{endpoint_request, response_head};
pub(crate) use reply::Reply;
pub(crate) use trail::Trail;
