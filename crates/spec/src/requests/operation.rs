//! What a daemon has begun for a request and what is not settled yet.

use trefoildyke_decide::coordinate;
use trefoildyke_types::{id, request};

/// Holds one thing under way between a daemon and another process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// A permit was asked for.
    Ask,
    /// A record is on its way to the key-value service.
    Write(request::Record),
    /// The service's answer to a write is on its way.
    Written(coordinate::WriteOutcome),
    /// A read is on its way to the key-value service.
    Read,
    /// The service's answer to a read is on its way.
    Reading(coordinate::ReadOutcome),
    /// The request is on its way to an endpoint.
    Send(id::EndpointName),
    /// The endpoint has the request and the answer is on its way.
    Stream,
    /// A request for the rest of the answer is on its way to an endpoint.
    Resume(id::EndpointName),
    /// The coordinator is being followed.
    Attach(id::Incarnation),
}
