//! A gateway, scripted endpoints and callers that speak bytes.

mod caller;
mod endpoint;
mod stack;

pub(crate) use caller::{Caller, Reply};
pub(crate) use endpoint::{Endpoint, Step};
pub(crate) use stack::{Stack, account, entries};
