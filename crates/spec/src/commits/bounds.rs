//! The bounds of the model of commits.

use trefoildyke_decide::intents;

/// How far the second daemon's clock is behind, in milliseconds.
pub(super) const LAG_MS: u64 = 100;
/// How long request ids stay usable, in milliseconds.
pub(super) const KEEP_MS: u64 = 1_000;

/// The size of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The most commits that each daemon attempts for its records.
    pub rounds: u8,
    /// The most writes whose answers are lost.
    pub losses: u8,
    /// Whether time passes, so that slots expire and are deleted.
    pub ageing: bool,
    /// The clock skew that the daemons allow for, in milliseconds.
    pub skew_ms: u64,
    /// The size in bytes at which a part is sealed.
    pub limit: usize,
    /// Whether a write compares the revision of its key.
    pub compare: bool,
}

impl Bounds {
    /// Creates bounds with every guard enabled and parts that are sealed after one record.
    pub const fn new() -> Self {
        Self { rounds: 2, losses: 2, ageing: false, skew_ms: LAG_MS, limit: 1, compare: true }
    }

    /// Returns the retention that the daemons use.
    pub(super) const fn retention(&self) -> intents::Retention {
        intents::Retention { keep_ms: KEEP_MS, skew_ms: self.skew_ms }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self::new()
    }
}
