//! The layout of records, on which all daemons agree.

use trefoildyke_types::id;

use crate::intents;

/// The distribution of identifiers over slots and the retention of slots.
///
/// All daemons must use the same layout. Otherwise a request could be recorded in two slots, or one
/// daemon could delete its record earlier than another expects. The layout stored in the key-value
/// service takes precedence over a daemon's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// The number of buckets in each time slice; at least 1.
    pub buckets: u32,
    /// The length of a time slice in milliseconds; at least 1.
    pub slice_ms: u64,
    /// How long records are kept.
    pub retention: intents::Retention,
}

impl Layout {
    /// The key of the layout in the key-value service.
    pub const KEY: &'static str = "intents/layout";

    /// Returns the slot that holds the record of a request.
    pub fn slot(&self, key: &id::RequestKey) -> intents::Slot {
        let bucket = key.stable_hash() % u64::from(self.buckets.max(1));
        intents::Slot {
            slice: key.id.created_ms() / self.slice_ms.max(1),
            // Always succeeds, because the value is lower than the number of buckets, a `u32`.
            bucket: u32::try_from(bucket).unwrap_or(0),
        }
    }

    /// Returns the end of a time slice, in milliseconds since the Unix epoch.
    pub const fn slice_end(&self, slice: u64) -> u64 {
        slice.saturating_add(1).saturating_mul(self.slice_ms)
    }

    /// Returns whether the slots of a time slice can be deleted.
    ///
    /// The clock skew is added twice: once for the difference between the deleting host and the true
    /// time, and once for the difference between the true time and a writer that still trusts its record.
    pub const fn is_expired(&self, slice: u64, now_ms: u64) -> bool {
        let end = self.slice_end(slice).saturating_add(self.retention.keep_ms);
        now_ms > end.saturating_add(self.retention.skew_ms.saturating_mul(2))
    }
}
