//! The requests during which endpoints have crashed.

use std::{cmp, collections, time};

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

/// How likely a request is the cause of its crashes; the likeliest cause comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Whether a crash has been refuted, as for a request that is sent often and runs beside most.
    is_refuted: bool,
    /// The number of crashes that count.
    crashes: cmp::Reverse<usize>,
    /// When the latest of them expires; requests beside the cause are often cut off later.
    latest: Option<Timestamp>,
}

impl Suspect {
    /// Returns the expiry times of the crashes that count.
    pub(super) fn counted(&self, now: Timestamp) -> Vec<Timestamp> {
        let counted = self.crashes.values().filter(|crash| crash.counts(now));
        counted.map(|crash| crash.until).collect()
    }

    /// Returns the starts of endpoints whose crashes count.
    pub(super) fn counted_starts(&self, now: Timestamp) -> impl Iterator<Item = &EndpointStart> {
        self.crashes.iter().filter(move |(_, crash)| crash.counts(now)).map(|(start, _)| start)
    }

    /// Returns the rank of the request as a cause.
    pub(super) fn rank(&self, now: Timestamp) -> Rank {
        let expiries = self.counted(now);
        Rank {
            is_refuted: self.crashes.values().any(|crash| crash.refuted),
            crashes: cmp::Reverse(expiries.len()),
            latest: expiries.into_iter().max(),
        }
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
