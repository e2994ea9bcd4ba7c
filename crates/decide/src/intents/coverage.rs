//! Which requests are recorded before they are dispatched.

use crate::coordinate;

/// Says which requests are recorded before they are dispatched.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Coverage {
    /// Every request: none is dispatched twice, and a retry can go on after its coordinator died.
    #[default]
    Every,
    /// Requests with a caller's identifier: none is dispatched twice, but a request whose
    /// identifier was issued cannot go on elsewhere after its coordinator died.
    CallerIds,
    /// Only requests that are not idempotent: an idempotent one can be dispatched twice if its
    /// caller retries it at another daemon.
    NonIdempotent,
}

impl Coverage {
    /// Returns whether a request is recorded.
    pub const fn recording(self, idempotent: bool, issued: bool) -> coordinate::Recording {
        let required = match self {
            Self::Every => true,
            Self::CallerIds => !issued || !idempotent,
            Self::NonIdempotent => !idempotent,
        };
        if required { coordinate::Recording::Required } else { coordinate::Recording::Unrecorded }
    }
}
