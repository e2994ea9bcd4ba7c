//! The operations of a daemon that are still in progress for a request.

use trefoildyke_decide::coordinate;
use trefoildyke_types::{id, request};

/// An operation in progress between a daemon and another process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// The daemon has requested a permit.
    Ask,
    /// A write of a record is in flight to the key-value service.
    Write(request::Record),
    /// The service's answer to a write is in flight.
    Written(coordinate::WriteOutcome),
    /// A read is in flight to the key-value service.
    Read,
    /// The service's answer to a read is in flight.
    Reading(coordinate::ReadOutcome),
    /// The request is in flight to an endpoint.
    Send(id::EndpointName),
    /// The endpoint has started the request, and the answer is in flight.
    Stream,
    /// A request for the rest of the answer is in flight to an endpoint.
    Resume(id::EndpointName),
    /// The daemon follows the request at its coordinator.
    Attach(id::Incarnation),
}
