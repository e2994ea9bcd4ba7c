//! Settings of the records.

use std::time;

use trefoildyke_decide::intents;
use trefoildyke_types::error;

/// Settings of the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Which requests are recorded.
    pub coverage: intents::Coverage,
    /// Into how many buckets the records are divided.
    ///
    /// The first daemon writes this, `slice_ms`, `keep_ms` and `skew_ms` to the key-value service;
    /// what stands there wins over later settings.
    pub buckets: u32,
    /// The length of a time slice in milliseconds.
    pub slice_ms: u64,
    /// The least time between two commits of a bucket, in milliseconds.
    pub window_ms: u64,
    /// The most writes that all buckets together may make in a second.
    pub writes_per_s: u32,
    /// The bytes at which a part is sealed and the next one begun.
    pub part_bytes: usize,
    /// How long after its creation an identifier can be used, in milliseconds.
    pub keep_ms: u64,
    /// The largest difference between the clocks of two hosts, in milliseconds.
    pub skew_ms: u64,
    /// How long one way of writing a record may take, in milliseconds: by the owner, by this
    /// daemon, by another peer.
    pub try_ms: u64,
    /// How many records may wait in one bucket.
    pub waiting: usize,
}

const MAX_PART: usize = 1 << 20;
const MIN_PART: usize = 2048;

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
    /// Returns the layout that the settings ask for.
    pub const fn layout(&self) -> intents::Layout {
        let retention = intents::Retention { keep_ms: self.keep_ms, skew_ms: self.skew_ms };
        intents::Layout { buckets: self.buckets, slice_ms: self.slice_ms, retention }
    }

    /// Returns the least time between two commits of a bucket.
    pub const fn window(&self) -> time::Duration {
        time::Duration::from_millis(self.window_ms)
    }

    /// Returns how long one way of writing a record may take.
    pub const fn try_time(&self) -> time::Duration {
        time::Duration::from_millis(self.try_ms)
    }

    /// Checks that the settings fit together.
    ///
    /// # Errors
    ///
    /// An error of kind `Invalid` that names the field.
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
        if !(MIN_PART..=MAX_PART).contains(&self.part_bytes) {
            let remedy = format!("use {MIN_PART} to {MAX_PART}");
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
