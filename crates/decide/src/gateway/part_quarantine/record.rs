//! The known crashes.

use std::time;

use trefoildyke_types::id;

use crate::gateway::{
    self,
    part_quarantine::moment::{self, Moment},
};

/// An endpoint and the number of its start.
pub(super) type EndpointStart = (id::EndpointName, u64);

/// An endpoint's start that crashed, and a request that was cut off by that.
pub(super) type CrashKey = (EndpointStart, gateway::Fingerprint);

/// A request that was cut off as its endpoint crashed.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    pub(super) sent_at: Moment,
    pub(super) crashed_at: Moment,
    /// The key of the service, then those of the parts of the prompt.
    pub(super) parts: Vec<gateway::PartKey>,
    /// A bit for each of `parts` that did not crash the endpoint.
    pub(super) refuted: u16,
    /// Whether this daemon saw the crash.
    pub(super) own: bool,
}

impl CrashRecord {
    /// Creates the record of a report that has just arrived.
    pub(super) fn new(now: Moment, crash: &gateway::PartCrash) -> Self {
        let crashed_at = now.before(crash.age_ms);
        Self {
            sent_at: crashed_at.before(crash.ran_ms),
            crashed_at,
            parts: crash.parts.clone(),
            refuted: crash.refuted,
            own: false,
        }
    }

    /// Returns the key of the service.
    pub(super) fn service(&self) -> Option<gateway::PartKey> {
        self.parts.first().copied()
    }

    /// Returns the parts of the prompt that may have crashed the endpoint.
    pub(super) fn suspects(&self) -> impl Iterator<Item = gateway::PartKey> {
        let is_open = |(index, _): &(usize, _)| self.refuted & (1 << index) == 0;
        self.parts.iter().copied().enumerate().skip(1).filter(is_open).map(|(_, part)| part)
    }

    /// Refutes that `part` crashed the endpoint; returns whether it was a suspect.
    pub(super) fn refute(&mut self, part: gateway::PartKey) -> bool {
        let Some(index) = self.parts.iter().position(|found| *found == part) else { return false };
        let before = self.refuted;
        self.refuted |= 1 << index;
        self.refuted != before
    }

    /// Refutes that any part crashed the endpoint.
    pub(super) fn refute_all(&mut self) {
        self.refuted = u16::MAX;
    }

    pub(super) fn age(&self, now: Moment) -> time::Duration {
        self.crashed_at.until(now)
    }

    pub(super) fn report(
        &self,
        now: Moment,
        ((endpoint, start), request): &CrashKey,
    ) -> gateway::PartCrash {
        gateway::PartCrash {
            request: *request,
            parts: self.parts.clone(),
            endpoint: endpoint.clone(),
            start: *start,
            age_ms: moment::millis(self.age(now)),
            ran_ms: moment::millis(self.sent_at.until(self.crashed_at)),
            refuted: self.refuted,
        }
    }
}
