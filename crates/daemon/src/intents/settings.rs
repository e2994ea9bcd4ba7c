//! Settings of the intent service.

use std::time;

use trefoildyke_decide::intents;
use trefoildyke_types::error;

/// The settings of the intent service, which records requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Which requests are recorded.
    pub coverage: intents::Coverage,
    /// The number of buckets into which the records are divided; at least 1.
    ///
    /// The first daemon writes this, `slice_ms`, `keep_ms` and `skew_ms` to the key-value service. The
    /// stored values take precedence over the settings of daemons that start later.
    pub buckets: u32,
    /// The length of a time slice in milliseconds; at least 1.
    pub slice_ms: u64,
    /// The minimum interval between two commits of a bucket, in milliseconds; at least 1.
    pub window_ms: u64,
    /// The maximum number of writes per second by all buckets together.
    pub writes_per_s: u32,
    /// The size in bytes at which a part is sealed and the next part is started; from 2,048 to 1,048,576.
    pub part_bytes: usize,
    /// How long after its creation an identifier can be used, in milliseconds; at least 1.
    pub keep_ms: u64,
    /// The maximum clock skew between two hosts, in milliseconds.
    pub skew_ms: u64,
    /// The timeout of one attempt to write a record, in milliseconds; at least 1. The attempts go through
    /// the owner, this daemon and another peer.
    pub try_ms: u64,
    /// The capacity of the queue of one bucket, and of the queue of records for other members; at least 1.
    pub waiting: usize,
}

const MAX_PART_BYTES: usize = 1 << 20;
const MIN_PART_BYTES: usize = 2048;

impl Default for Settings {
    fn default() -> Self {
        Self {
            coverage: intents::Coverage::Every,
            buckets: 4,
            slice_ms: 60_000,
            window_ms: 15,
            writes_per_s: 300,
            part_bytes: 16 << 10,
            keep_ms: 15 * 60_000,
            skew_ms: 30_000,
            try_ms: 500,
            waiting: 4096,
        }
    }
}

impl Settings {
    /// Returns the layout that the settings define.
    pub const fn layout(&self) -> intents::Layout {
        let retention = intents::Retention { keep_ms: self.keep_ms, skew_ms: self.skew_ms };
        intents::Layout { buckets: self.buckets, slice_ms: self.slice_ms, retention }
    }

    /// Returns the minimum interval between two commits of a bucket.
    pub const fn window(&self) -> time::Duration {
        time::Duration::from_millis(self.window_ms)
    }

    /// Returns the timeout of one attempt to write a record.
    pub const fn try_time(&self) -> time::Duration {
        time::Duration::from_millis(self.try_ms)
    }

    /// Checks the ranges of the settings and that the buckets cannot exceed `writes_per_s`.
    ///
    /// # Errors
    ///
    /// Fails with `Invalid` and the name of the field.
    pub fn check(&self) -> Result<(), error::Error> {
        for (field, value) in [
            ("intents.buckets", u64::from(self.buckets)),
            ("intents.slice_ms", self.slice_ms),
            ("intents.window_ms", self.window_ms),
            ("intents.keep_ms", self.keep_ms),
            ("intents.try_ms", self.try_ms),
            ("intents.waiting", self.waiting as u64),
        ] {
            if value == 0 {
                return Err(invalid(field, "it is 0", "use 1 or more"));
            }
        }
        if !(MIN_PART_BYTES..=MAX_PART_BYTES).contains(&self.part_bytes) {
            let remedy = format!("use {MIN_PART_BYTES} to {MAX_PART_BYTES}");
            return Err(invalid("intents.part_bytes", "it is out of range", &remedy));
        }
        let writes = u64::from(self.buckets) * 1000 / self.window_ms;
        if writes > u64::from(self.writes_per_s) {
            let message = format!("{} buckets would make {writes} writes a second", self.buckets);
            let remedy = "use a longer window_ms, fewer buckets, or allow more writes_per_s";
            return Err(invalid("intents.window_ms", &message, remedy));
        }
        Ok(())
    }
}

fn invalid(field: &str, message: &str, remedy: &str) -> error::Error {
    error::Error::new(error::ErrorKind::Invalid, message).at(field).remedy(remedy)
}
