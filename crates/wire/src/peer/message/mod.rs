//! Arguments and results of the calls between daemons.

mod ask_request;
mod changes;
mod commit_outcome;
mod commit_request;
mod payload;
mod read_answer;
mod read_request;
mod report_request;

pub use ask_request::AskRequest;
pub use changes::{Changes, ChangesRequest};
pub use commit_outcome::CommitOutcome;
pub use commit_request::CommitRequest;
pub use payload::Payload;
pub use read_answer::ReadAnswer;
pub use read_request::ReadRequest;
pub use report_request::ReportRequest;
