//! The callers' HTTP face.
//!
//! It checks the account's key and the request, opens the stream with the request's identifier and
//! passes on what the coordinator says, a refusal at once.

mod answer;
mod check;
mod coordinator;
mod face;
mod reply;
mod stream;
mod submission;

pub use answer::{Answer, AnswerEvent};
pub use check::submission;
pub use coordinator::{Coordinator, Reply};
pub use face::Face;
pub use submission::Submission;
