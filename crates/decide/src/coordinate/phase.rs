//! The phases of a request at one daemon.

use trefoildyke_types::{id, request, time};

/// A permit with its expiry time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeldPermit {
    /// The permit.
    pub permit: request::Permit,
    /// When the permit expires, on the monotonic clock.
    pub expiry: time::Timestamp,
}

/// The event that a request waits for before its intent is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Waiting {
    /// The first read of the record.
    LookUp,
    /// The scheduler's permit.
    Permit,
    /// The write of the intent record.
    Record(HeldPermit),
    /// The read of the record after a write with an unknown outcome.
    ReadBack(HeldPermit),
    /// The write of the record that closes the identifier before the refusal is sent.
    Close(request::Refusal),
}

/// The phase of a request at one daemon.
///
/// A request moves from `Waiting` to `Recorded`, `Dispatched` and `Answered`, or to `Refused`. In
/// `Following` it receives the answer to a dispatch by another daemon, or by this daemon under an earlier
/// nonce.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// This daemon has not dispatched the request.
    Waiting(Waiting),
    /// Only this daemon may dispatch, but it has no valid permit.
    Recorded,
    /// This daemon has dispatched the request. It dispatches again only if the connection could not be
    /// opened and nothing was sent.
    Dispatched {
        /// The endpoint that runs the request.
        endpoint: id::EndpointName,
        /// Whether any chunk of the answer has arrived.
        has_chunk: bool,
    },
    /// Another daemon, or this one under an earlier nonce, may have dispatched the request; this state never
    /// dispatches it.
    Following {
        /// The coordinator, while it may still be running.
        coordinator: Option<id::Incarnation>,
        /// The endpoint, if it is known.
        endpoint: Option<id::EndpointName>,
    },
    /// The complete answer was passed on to the caller.
    Answered,
    /// The final refusal was sent to the caller.
    Refused(request::RefusalKind),
    /// The caller disconnected before the dispatch; no answer or refusal was sent.
    Abandoned,
}
