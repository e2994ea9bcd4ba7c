//! The coordinator's decisions: which requests it takes, and every step of one request.
//!
//! The coordinator is the daemon that accepted a request and the only process that sends it to an
//! endpoint. [`admit`] says what becomes of an arriving request; [`RequestState::step`] is the one
//! function that moves a request. The model checker explores these same functions.

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
pub use conditions::{Conditions, Local, OutagePolicy, ServiceState};
pub use fingerprint::fingerprint;
pub use input::{Input, LookUp, Now, RecordOutcome};
pub use phase::{Held, Phase, Waiting};
pub use reason::Reason;
pub use request_state::{Opening, RequestState};
