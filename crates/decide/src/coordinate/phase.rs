//! The phases of a request at one daemon.

use trefoildyke_types::{id, request, time};

/// Holds a permit and how long it holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    /// The permit.
    pub permit: request::Permit,
    /// The end of the permit on the monotonic clock.
    pub until: time::Timestamp,
}

/// Says what a request that is not yet recorded waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Waiting {
    /// The record, before anything else.
    LookUp,
    /// The permit.
    Permit,
    /// The writing of the intent.
    Record(Held),
    /// The record after a write of unknown outcome.
    ReadBack(Held),
    /// The writing of the record that closes the identifier before the refusal.
    Close(request::Refusal),
}

/// Names the phase of a request at one daemon.
///
/// It goes from `Waiting` to `Recorded`, `Dispatched` and `Answered`, or to `Refused`; or it
/// follows the answer to a dispatch of another daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Nothing was dispatched by this daemon.
    Waiting(Waiting),
    /// This daemon alone may dispatch, but has no permit that holds.
    Recorded,
    /// This daemon has dispatched; it never does so again.
    Dispatched {
        /// Where the request runs.
        endpoint: id::EndpointName,
        /// Whether any part of an answer has come.
        heard: bool,
    },
    /// Another daemon may have dispatched; this one never will.
    Following {
        /// The coordinator, while it may still live.
        coordinator: Option<id::Incarnation>,
        /// The endpoint, if it is known.
        endpoint: Option<id::EndpointName>,
    },
    /// The whole answer was passed on.
    Answered,
    /// The final refusal was given.
    Refused(request::RefusalKind),
    /// The caller left before the dispatch; nobody was told anything.
    Abandoned,
}
