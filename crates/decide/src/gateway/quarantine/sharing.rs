//! The exchange of known crashes between daemons.

use std::{cmp, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway::{self, Quarantine, quarantine::suspect};

/// The number of crashes from which a request is reported to all daemons.
///
/// Before that, it is reported only to the few daemons that receive every crash. Most requests that
/// are interrupted are interrupted once.
const MIN_SHARED: usize = 2;

/// The maximum number of crashes in one message: at about 50 bytes each, they fit in one datagram.
const MAX_REPORTED: usize = 128;

impl Quarantine {
    /// Returns the crashes that all daemons should know, as many as fit in one message.
    pub fn shared(&self, now: Timestamp) -> Vec<gateway::Crash> {
        self.select(now, |suspect, _| suspect.crashes.len() >= MIN_SHARED)
    }

    /// Returns a hash of the quarantined requests, the same for daemons that quarantine the same
    /// requests; 0 if there are none.
    pub fn quarantined_hash(&self) -> u64 {
        self.quarantined.iter().fold(0, |hash, fingerprint| hash ^ fingerprint.as_u64())
    }

    /// Returns the known crashes of one request.
    pub fn crashes_of(
        &self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
    ) -> Vec<gateway::Crash> {
        self.select(now, |_, found| found == fingerprint)
    }

    /// Returns the crashes that this daemon saw in the last `age`.
    pub fn own_crashes(&self, now: Timestamp, age: time::Duration) -> Vec<gateway::Crash> {
        let mut crashes = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            let is_new = |crash: &suspect::CrashRecord| {
                crash.own && crash.age(now, self.params.crash_ttl) < age
            };
            let new = suspect.crashes.iter().filter(|(_, crash)| is_new(crash));
            crashes.extend(new.map(|(start, crash)| self.message(now, *fingerprint, start, crash)));
        }
        crashes.truncate(MAX_REPORTED);
        crashes
    }

    fn select(
        &self,
        now: Timestamp,
        is_selected: impl Fn(&suspect::Suspect, gateway::Fingerprint) -> bool,
    ) -> Vec<gateway::Crash> {
        // The crashes of quarantined requests come first, so that the size limit does not remove
        // them.
        let is_quarantined =
            |fingerprint: &gateway::Fingerprint| self.quarantined.contains(fingerprint);
        let selected =
            self.suspects.iter().filter(|(found, suspect)| is_selected(suspect, **found));
        let mut selected: Vec<_> = selected.collect();
        selected.sort_by_key(|(fingerprint, _)| cmp::Reverse(is_quarantined(fingerprint)));
        let crashes = selected.into_iter().flat_map(|(fingerprint, suspect)| {
            suspect
                .crashes
                .iter()
                .map(|(start, crash)| self.message(now, *fingerprint, start, crash))
        });
        crashes.take(MAX_REPORTED).collect()
    }

    fn message(
        &self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
        (endpoint, start): &suspect::EndpointStart,
        crash: &suspect::CrashRecord,
    ) -> gateway::Crash {
        let age = crash.age(now, self.params.crash_ttl).as_millis();
        gateway::Crash {
            fingerprint,
            endpoint: endpoint.clone(),
            start: *start,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            refuted: crash.refuted,
        }
    }

    pub(super) fn shared_hash(&self) -> u64 {
        let shared =
            self.suspects.iter().filter(|(_, suspect)| suspect.crashes.len() >= MIN_SHARED);
        let crashes = shared.flat_map(|(fingerprint, suspect)| {
            suspect.crashes.iter().map(|(start, crash)| hash(*fingerprint, start, crash.refuted))
        });
        crashes.fold(0, |sum, hash| sum ^ hash)
    }
}

fn hash(
    fingerprint: gateway::Fingerprint,
    (endpoint, start): &suspect::EndpointStart,
    refuted: bool,
) -> u64 {
    let seed = fingerprint.as_u64() ^ start.rotate_left(1) ^ u64::from(refuted);
    xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed)
}
