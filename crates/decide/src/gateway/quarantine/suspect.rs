//! A request under which endpoints have ended.

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

/// The start of an endpoint.
pub(super) type Start = (id::EndpointName, u64);

/// A request under which endpoints have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// Never empty.
    pub(super) ends: collections::BTreeMap<Start, End>,
}

/// The end of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    /// Until when it counts.
    pub(super) until: Timestamp,
    pub(super) refuted: bool,
    /// Whether this daemon saw it.
    pub(super) own: bool,
}

impl Suspect {
    /// Returns until when each end counts that does.
    pub(super) fn counted(&self, now: Timestamp) -> Vec<Timestamp> {
        let counted = self.ends.values().filter(|end| end.counts(now));
        counted.map(|end| end.until).collect()
    }

    pub(super) fn latest(&self) -> Option<Timestamp> {
        self.ends.values().map(|end| end.until).max()
    }
}

impl End {
    pub(super) fn counts(&self, now: Timestamp) -> bool {
        !self.refuted && now < self.until
    }

    /// Returns how long ago it was, if ends count for `kept`.
    pub(super) fn age(&self, now: Timestamp, kept: time::Duration) -> time::Duration {
        kept.saturating_sub(self.until.since(now))
    }
}
