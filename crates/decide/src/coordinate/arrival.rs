//! A request as it reaches a daemon.

use trefoildyke_types::{id, request};

use crate::coordinate;

/// Holds what admission has to know of an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Arrival {
    /// The caller's identifier, if there is one.
    pub id: Option<id::RequestId>,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// The attempt as the caller counts it, from 1.
    pub attempt: u32,
    /// The first output offset that the caller has not got yet.
    pub offset: u64,
    /// The fingerprint of the body.
    pub fingerprint: u64,
}

impl Arrival {
    /// Creates the arrival of a caller's request.
    pub fn new(spec: &request::RequestSpec) -> Self {
        Self {
            id: spec.id,
            idempotent: spec.idempotent,
            attempt: spec.attempt,
            offset: spec.offset,
            fingerprint: coordinate::fingerprint(spec),
        }
    }

    /// Returns whether the caller says that it has sent the request before.
    pub const fn is_marked(&self) -> bool {
        self.attempt > 1 || self.offset > 0
    }

    /// Returns whether the request may have been started before.
    ///
    /// An issued identifier always was: its issuer started it.
    pub fn may_be_second(&self) -> bool {
        self.is_marked() || self.id.is_some_and(|id| id.issuer().is_some())
    }
}
