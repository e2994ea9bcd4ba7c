//! The choice of requests that are recorded before they are dispatched.

use crate::coordinate::{Admission, Recording};

/// The set of requests that are recorded before they are dispatched.
///
/// With either value no request is dispatched twice. There is no value that records only non-idempotent
/// requests, because two daemons could then dispatch an idempotent request with a caller's identifier.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Coverage {
    /// Every request. If a coordinator fails before the dispatch, a retry can continue at another daemon.
    #[default]
    Every,
    /// Only requests with a caller's identifier. An identifier that a daemon issues is marked as
    /// unrecorded, so only the issuer ever dispatches the request, without waiting for a write.
    CallerIds,
}

impl Coverage {
    /// Returns the admission of a request under this coverage.
    ///
    /// `admission` is the admission that applies if every request is recorded.
    #[must_use]
    pub const fn apply(self, admission: Admission) -> Admission {
        match (self, admission) {
            (Self::CallerIds, Admission::Issue(_)) => Admission::Issue(Recording::Unrecorded),
            _ => admission,
        }
    }
}
