//! The usage of a retry budget.

/// Snapshot of one daemon's retry budget for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryUsage {
    /// The retries counted in a window.
    pub retries: usize,
    /// The maximum number of retries in that window, rounded down.
    pub limit: usize,
}

impl RetryUsage {
    /// Returns how many more retries the window allows.
    pub const fn available(&self) -> usize {
        self.limit.saturating_sub(self.retries)
    }
}
