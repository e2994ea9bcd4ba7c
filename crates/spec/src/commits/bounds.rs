//! What the model of commits includes.

use trefoildyke_decide::intents;

/// By how much the second daemon's clock is behind, in milliseconds.
pub(super) const LAG_MS: u64 = 100;
/// How long identifiers can be used, in milliseconds.
pub(super) const KEEP_MS: u64 = 1_000;

/// States the size of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The most commits that each daemon makes for its records.
    pub rounds: u8,
    /// The most writes whose answers are lost.
    pub losses: u8,
    /// Whether time passes until slots are deleted.
    pub ageing: bool,
    /// The difference between clocks that the daemons allow for, in milliseconds.
    pub skew_ms: u64,
    /// The bytes at which a part is sealed.
    pub limit: usize,
    /// Whether a write compares the revision of its key.
    pub compare: bool,
}

impl Bounds {
    /// Creates bounds with parts that are sealed after one record, and every guard.
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
