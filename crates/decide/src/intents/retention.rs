//! The retention of records.

use trefoildyke_types::id;

/// The retention of records, which ensures that an identifier is never used after its record may have
/// been deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retention {
    /// How long after its creation an identifier can be used, in milliseconds.
    pub keep_ms: u64,
    /// The maximum clock skew between two hosts, in milliseconds.
    pub skew_ms: u64,
}

impl Retention {
    /// Returns whether an identifier can be recorded at `now_ms`, the wall-clock time in milliseconds.
    pub fn accepts(&self, id: &id::RequestId, now_ms: u64) -> bool {
        let created = id.created_ms();
        let ahead = created > now_ms.saturating_add(self.skew_ms);
        !ahead && now_ms.saturating_sub(created) <= self.keep_ms
    }

    /// Returns whether a record that was created by `now_ms` proves that no record existed before.
    ///
    /// A writer may have been paused after [`Self::accepts`], so the time is checked again. No host can
    /// have deleted the slot until `skew_ms` after the end of the retention.
    pub fn proves_creation(&self, id: &id::RequestId, now_ms: u64) -> bool {
        now_ms.saturating_sub(id.created_ms()) <= self.keep_ms.saturating_add(self.skew_ms)
    }
}
