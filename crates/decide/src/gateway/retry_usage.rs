//! The usage of a retry budget.

/// Snapshot of one daemon's retry budget for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryUsage {
    /// The retries counted in the current window.
    pub retries: usize,
    /// The maximum number of retries in the current window, rounded down.
    pub limit: usize,
}
