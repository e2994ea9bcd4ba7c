//! A request as it reaches a daemon.

use trefoildyke_types::{id, request};

use crate::coordinate;

/// The properties of an arriving request on which admission depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Arrival {
    /// The caller's identifier, if there is one.
    pub id: Option<id::RequestId>,
    /// Whether the request may safely run twice.
    pub idempotent: bool,
    /// The number of the attempt as counted by the caller, starting at 1.
    pub attempt: u32,
    /// The first output offset that the caller has not received yet, in tokens.
    pub offset: u64,
    /// The fingerprint of the request body.
    pub fingerprint: u64,
}

impl Arrival {
    /// Creates the arrival of a caller's request, with the fingerprint of its body.
    pub fn new(spec: &request::RequestSpec) -> Self {
        Self {
            id: spec.id,
            idempotent: spec.idempotent,
            attempt: spec.attempt,
            offset: spec.offset,
            fingerprint: coordinate::fingerprint(spec),
        }
    }

    /// Returns whether the caller marked the request as a retry.
    pub const fn is_retry(&self) -> bool {
        self.attempt > 1 || self.offset > 0
    }

    /// Returns whether the request may have been started before.
    ///
    /// This always holds for an issued identifier, because its issuer started the request.
    pub fn may_be_retry(&self) -> bool {
        self.is_retry() || self.id.is_some_and(|id| id.issuer().is_some())
    }
}
