//! Settings for the availability of endpoints.

use std::time;

/// The times after which an endpoint's availability changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Params {
    /// How long an endpoint may leave calls unanswered before it gets no new work; 3 s.
    pub unreachable_after: time::Duration,
    /// How long a new or paused scheduler waits for the platform's list before it continues without
    /// it; 2 s.
    pub list_wait: time::Duration,
    /// The longest time between two method calls that does not count as a pause of this process; 1
    /// s.
    pub pause_limit: time::Duration,
    /// How long a deleted endpoint is kept, for the work that it still has; 60 s.
    pub forget_after: time::Duration,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            unreachable_after: time::Duration::from_secs(3),
            list_wait: time::Duration::from_secs(2),
            pause_limit: time::Duration::from_secs(1),
            forget_after: time::Duration::from_secs(60),
        }
    }
}
