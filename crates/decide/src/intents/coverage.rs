//! Which requests are recorded before they are dispatched.

use crate::coordinate::{Admission, Recording};

/// Says which requests are recorded before they are dispatched.
///
/// Either way no request is dispatched twice. Recording only what is not idempotent is no choice:
/// an idempotent request with a caller's identifier could then be dispatched by two daemons.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Coverage {
    /// Every request; a retry can go on at another daemon after its coordinator died waiting.
    #[default]
    Every,
    /// Requests with a caller's identifier. An identifier that a daemon issues is marked as
    /// unrecorded, so only its issuer ever dispatches it, and without waiting for a write.
    CallerIds,
}

impl Coverage {
    /// Returns how a request is taken, given how it would be if every request were recorded.
    #[must_use]
    pub const fn apply(self, admission: Admission) -> Admission {
        match (self, admission) {
            (Self::CallerIds, Admission::Issue(_)) => Admission::Issue(Recording::Unrecorded),
            _ => admission,
        }
    }
}
