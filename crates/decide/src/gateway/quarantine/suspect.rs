//! The requests during which endpoints have crashed.

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

/// An endpoint and the number of its start.
pub(super) type EndpointStart = (id::EndpointName, u64);

/// A request during which endpoints have crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// The crashes by start of the endpoint; never empty.
    pub(super) crashes: collections::BTreeMap<EndpointStart, CrashRecord>,
}

/// The crash of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashRecord {
    /// The time until which the crash counts.
    pub(super) until: Timestamp,
    pub(super) refuted: bool,
    /// Whether this daemon saw the crash.
    pub(super) own: bool,
}

impl Suspect {
    /// Returns the expiry times of the crashes that count.
    pub(super) fn counted(&self, now: Timestamp) -> Vec<Timestamp> {
        let counted = self.crashes.values().filter(|crash| crash.counts(now));
        counted.map(|crash| crash.until).collect()
    }

    /// Returns whether a crash of the request has been refuted.
    pub(super) fn has_refuted(&self) -> bool {
        self.crashes.values().any(|crash| crash.refuted)
    }

    pub(super) fn latest(&self) -> Option<Timestamp> {
        self.crashes.values().map(|crash| crash.until).max()
    }
}

impl CrashRecord {
    pub(super) fn counts(&self, now: Timestamp) -> bool {
        !self.refuted && now < self.until
    }

    /// Returns the time since the crash, if crashes count for `crash_ttl`.
    pub(super) fn age(&self, now: Timestamp, crash_ttl: time::Duration) -> time::Duration {
        crash_ttl.saturating_sub(self.until.since(now))
    }
}
