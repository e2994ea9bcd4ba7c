//! The decision on an arriving request.

use trefoildyke_types::id;

/// Whether the intent to dispatch must be recorded before the dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Recording {
    /// The intent must be recorded before the dispatch.
    Required,
    /// Only this daemon may dispatch the identifier, or the policy accepts the risk of a second
    /// dispatch.
    Unrecorded,
}

/// The way in which a daemon accepts a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// Issue an identifier with [`issue`](crate::coordinate::issue) and ask the scheduler for a permit.
    Issue(Recording),
    /// Start the request by asking the scheduler for a permit.
    Start(Recording),
    /// Look up the record first, because the request may already have been dispatched.
    LookUp,
    /// Follow the answer at the coordinator that issued the identifier; never dispatch here.
    Follow(id::Incarnation),
    /// Join the request with the same key that this daemon already has.
    Attach,
}
