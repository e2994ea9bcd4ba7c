//! What the daemon does for a request.

use trefoildyke_types::{id, request};

/// Holds one thing that the daemon has to do for a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Ask the scheduler for a permit.
    Ask,
    /// Tell the scheduler that no permit is wanted any more.
    Withdraw,
    /// Give an unused permit back to the scheduler.
    HandBack(request::Permit),
    /// Create the record if none stands.
    Record(request::Record),
    /// Read the record.
    LookUp,
    /// Send the request to the endpoint; the only action that does.
    Dispatch(id::EndpointName),
    /// Follow the stream at the endpoint on a new connection.
    Resume {
        /// The endpoint that runs the request.
        endpoint: id::EndpointName,
        /// The number of tokens that have been received.
        offset: u64,
    },
    /// Follow the answer at the coordinator, which may still be waiting.
    Attach {
        /// The coordinator.
        coordinator: id::Incarnation,
        /// The number of tokens that have been received.
        offset: u64,
    },
    /// Cancel the stream at the endpoint, whose answer nobody gets.
    Cancel(id::EndpointName),
    /// Pass a piece of the answer to the caller.
    Deliver(request::Chunk),
    /// Give the caller the final refusal at once.
    Refuse(request::Refusal),
}
