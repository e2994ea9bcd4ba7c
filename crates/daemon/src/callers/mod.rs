//! The HTTP API for callers.
//!
//! It authenticates the client account, checks the request and answers with an event stream. The first event
//! carries the request's identifier, the following ones the coordinator's answer. A refusal before acceptance
//! is answered immediately, without a stream.

mod answer;
mod api;
mod check;
mod coordinator;
mod reply;
mod stream;
mod submission;

pub use answer::{Answer, AnswerEvent};
pub use api::Api;
pub use check::submission;
pub use coordinator::{Coordinator, Reply};
pub use submission::Submission;
