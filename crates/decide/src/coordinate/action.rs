//! The actions of a coordinator on behalf of a request.

use trefoildyke_types::{id, request};

/// An action that the daemon must carry out for a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Ask the scheduler for a permit.
    RequestPermit,
    /// Tell the scheduler that the request no longer needs a permit.
    Withdraw,
    /// Return an unused permit to the scheduler.
    ReturnPermit(request::Permit),
    /// Create the record if none exists.
    Record(request::Record),
    /// Read the record.
    ReadRecord,
    /// Send the request to the endpoint; no other action sends it.
    Dispatch(id::EndpointName),
    /// Continue the answer stream from the endpoint on a new connection.
    Resume {
        /// The endpoint that runs the request.
        endpoint: id::EndpointName,
        /// The first output offset that has not been received yet, in tokens.
        offset: u64,
    },
    /// Follow the answer at the coordinator, which may not have dispatched the request yet.
    Attach {
        /// The coordinator.
        coordinator: id::Incarnation,
        /// The first output offset that has not been received yet, in tokens.
        offset: u64,
    },
    /// Cancel the stream at the endpoint, because no caller will receive its answer.
    Cancel(id::EndpointName),
    /// Pass a chunk of the answer to the caller.
    Deliver(request::Chunk),
    /// Send the final refusal to the caller immediately.
    Refuse(request::Refusal),
}
