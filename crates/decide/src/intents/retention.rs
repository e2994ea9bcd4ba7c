//! How long records are kept.

use trefoildyke_types::id;

/// Says how long records are kept, so that an identifier is never used after its record may have
/// been deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retention {
    /// How long after its creation an identifier can be used, in milliseconds.
    pub keep_ms: u64,
    /// The largest difference between the clocks of two hosts, in milliseconds.
    pub skew_ms: u64,
}

impl Retention {
    /// Returns whether an identifier can still be recorded.
    pub fn accepts(&self, id: &id::RequestId, now_ms: u64) -> bool {
        let created = id.created_ms();
        let ahead = created > now_ms.saturating_add(self.skew_ms);
        !ahead && now_ms.saturating_sub(created) <= self.keep_ms
    }

    /// Returns whether a record that was created by `now_ms` proves that none stood before.
    ///
    /// A writer may have been paused after [`Self::accepts`]. Until `skew_ms` after the end of
    /// the retention no host can have deleted the slot.
    pub fn proves(&self, id: &id::RequestId, now_ms: u64) -> bool {
        now_ms.saturating_sub(id.created_ms()) <= self.keep_ms.saturating_add(self.skew_ms)
    }
}
