//! What becomes of an arriving request.

use trefoildyke_types::id;

/// Says whether a dispatch needs a record first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Recording {
    /// The intent must be recorded before the dispatch.
    Required,
    /// Only this daemon may dispatch the identifier, or the policy accepts the risk.
    Unrecorded,
}

/// Says how a daemon takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// Issue an identifier with [`issue`](crate::coordinate::issue) and start.
    Issue(Recording),
    /// Start: ask the scheduler.
    Start(Recording),
    /// Look the record up first: the request may have been dispatched before.
    LookUp,
    /// Follow the coordinator that issued the identifier; never dispatch.
    Follow(id::Incarnation),
    /// Follow the request with the same key at this daemon.
    Attach,
}
