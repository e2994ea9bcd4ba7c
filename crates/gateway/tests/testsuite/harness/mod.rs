//! A gateway, scripted endpoints, and callers that send raw bytes.

mod caller;
mod endpoint;
mod engine;
mod log;
mod test_gateway;

pub(crate) use caller::{Caller, Reply};
pub(crate) use endpoint::{Endpoint, Step};
pub(crate) use engine::Engine;
pub(crate) use test_gateway::{TestGateway, account, entries};
