//! The coordinator's decisions: admission of requests and the state machine of one request.
//!
//! The coordinator is the daemon that accepted a request. It is the only process that sends the request
//! to an endpoint. [`admit`] decides whether and how an arriving request is accepted.
//! [`RequestState::step`] is the only function that changes the phase of a request. The model checker
//! explores these same functions.

mod action;
mod admission;
mod admit;
mod answer;
mod arrival;
mod conditions;
mod fingerprint;
mod input;
mod phase;
mod reason;
mod record;
mod request_state;

pub use action::Action;
pub use admission::{Admission, Recording};
pub use admit::{admit, issue};
pub use arrival::Arrival;
pub use conditions::{Conditions, LocalRequest, OutagePolicy, ServiceState};
pub use fingerprint::fingerprint;
pub use input::{Input, Now, ReadOutcome, WriteOutcome};
pub use phase::{HeldPermit, Phase, Waiting};
pub use reason::Reason;
pub use request_state::{InitialState, RequestState};
