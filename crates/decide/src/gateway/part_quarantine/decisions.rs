//! The decisions on which parts are quarantined, of this daemon and of others.

use std::{cmp, collections, net, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway::{
    self, PartChange, PartQuarantine,
    part_quarantine::{Quarantined, causes, moment::Moment},
};

impl PartQuarantine {
    /// Decides which parts are quarantined, and returns the changes.
    pub fn decide(&mut self, now: Timestamp) -> Vec<PartChange> {
        let are_answered = |service, moment| self.are_answered_since(service, moment);
        let records = self.crashes.iter();
        let causes = causes::find_causes(now.into(), &self.params, records, are_answered);
        let decided = causes
            .into_iter()
            .map(|cause| Quarantined { until: self.expiry(&cause), parts: cause.parts });
        self.decided = decided.collect();
        self.refresh(now);
        self.take_changes(now)
    }

    /// Returns when too few of the crashes count, or some time after the latest one if they are few.
    fn expiry(&self, cause: &causes::Cause<'_>) -> Moment {
        let mut crashed: Vec<_> =
            cause.crashes.iter().map(|(_, record)| record.crashed_at).collect();
        crashed.sort_unstable_by_key(|moment| cmp::Reverse(*moment));
        let is_lasting = causes::start_count(&cause.crashes) >= self.params.lasting_crashes;
        let (needed, ttl) = match is_lasting {
            true => (self.params.min_crashes, self.params.crash_ttl),
            false => (1, self.params.trial_time),
        };
        crashed.get(needed - 1).map_or(cause.first, |moment| moment.after(ttl))
    }

    /// Takes over what another daemon has decided, also in place of earlier decisions of this daemon
    /// unless it `decides` itself, and returns the changes.
    pub fn adopt(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        quarantined: &[gateway::QuarantinedParts],
        decides: bool,
    ) -> Vec<PartChange> {
        if !decides {
            self.decided.clear();
        }
        let adopted = quarantined.iter().map(|quarantined| Quarantined {
            parts: quarantined.parts.iter().copied().collect(),
            until: Moment::from(now)
                .after(time::Duration::from_millis(u64::from(quarantined.left_ms))),
        });
        let adopted = adopted.filter(|quarantined| !quarantined.parts.is_empty());
        self.adopted.insert(from, adopted.collect());
        self.refresh(now);
        self.take_changes(now)
    }

    /// Drops what other daemons have decided that no longer do so, and returns the changes.
    pub fn retain_deciders(
        &mut self,
        now: Timestamp,
        deciders: &[net::SocketAddr],
    ) -> Vec<PartChange> {
        if self.adopted.keys().all(|from| deciders.contains(from)) {
            return Vec::new();
        }
        self.adopted.retain(|from, _| deciders.contains(from));
        self.refresh(now);
        self.take_changes(now)
    }

    /// Returns when the caller of a request with these parts should come back, which is when the
    /// quarantine ends; `None` if they are not quarantined.
    pub fn quarantined_for(
        &self,
        now: Timestamp,
        parts: &[gateway::PartKey],
    ) -> Option<time::Duration> {
        let found = self.quarantined(now.into());
        let found =
            found.filter(|quarantined| quarantined.parts.iter().all(|part| parts.contains(part)));
        found.map(|quarantined| Moment::from(now).until(quarantined.until)).max()
    }

    pub(super) fn quarantined(&self, now: Moment) -> impl Iterator<Item = &Quarantined> {
        let all = self.decided.iter().chain(self.adopted.values().flatten());
        all.filter(move |quarantined| now < quarantined.until)
    }

    pub(super) fn quarantined_sets(&self, now: Timestamp) -> Vec<Vec<gateway::PartKey>> {
        let sets = self.quarantined(now.into());
        let mut sets: Vec<Vec<_>> =
            sets.map(|quarantined| quarantined.parts.iter().copied().collect()).collect();
        sets.sort_unstable();
        sets.dedup();
        sets
    }

    /// Returns what has changed since the last call.
    fn take_changes(&mut self, now: Timestamp) -> Vec<PartChange> {
        let after = self.quarantined_sets(now);
        let before = std::mem::replace(&mut self.reported, after);
        let new = self.reported.iter().filter(|parts| !before.contains(parts));
        let new = new.map(|parts| PartChange::Quarantined {
            parts: parts.clone(),
            crashes: self.crash_count(parts),
        });
        let gone = before.iter().filter(|parts| !self.reported.contains(parts));
        let gone = gone.map(|parts| PartChange::Released { parts: parts.clone() });
        new.chain(gone).collect()
    }

    /// Returns the number of endpoints known to have crashed during requests with all of `parts`.
    pub fn crash_count(&self, parts: &[gateway::PartKey]) -> usize {
        let matching = self.crashes.iter().filter(|(_, record)| {
            let suspects: collections::BTreeSet<_> = record.suspects().collect();
            !parts.is_empty() && parts.iter().all(|part| suspects.contains(part))
        });
        causes::start_count(&matching.collect())
    }
}
