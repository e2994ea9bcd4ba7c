//! What daemons tell each other of endpoints that have ended.

use std::{cmp, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway::{self, Quarantine, quarantine::suspect};

/// From how many ends on a request is told to all daemons; before, only to the few that hear of every end. Most requests that are
/// cut off are cut off once.
const SHARED: usize = 2;

/// How many ends are told at once: with some 50 bytes each they fit in one datagram.
const TOLD: usize = 128;

impl Quarantine {
    /// Returns what all daemons should know, as much as fits in one message.
    pub fn shared(&self, now: Timestamp) -> Vec<gateway::Crash> {
        self.told(now, |suspect, _| suspect.ends.len() >= SHARED)
    }

    /// Returns a number that is the same for daemons that send the same requests nowhere; 0 if they send all.
    pub fn held_mark(&self) -> u64 {
        self.held.iter().fold(0, |mark, fingerprint| mark ^ fingerprint.as_u64())
    }

    /// Returns what is known of one request.
    pub fn of(&self, now: Timestamp, fingerprint: gateway::Fingerprint) -> Vec<gateway::Crash> {
        self.told(now, |_, found| found == fingerprint)
    }

    /// Returns the ends that this daemon saw in the last `age`.
    pub fn own(&self, now: Timestamp, age: time::Duration) -> Vec<gateway::Crash> {
        let mut crashes = Vec::new();
        for (fingerprint, suspect) in &self.suspects {
            let is_new = |end: &suspect::End| end.own && end.age(now, self.params.kept) < age;
            let new = suspect.ends.iter().filter(|(_, end)| is_new(end));
            crashes.extend(new.map(|(start, end)| self.crash(now, *fingerprint, start, end)));
        }
        crashes.truncate(TOLD);
        crashes
    }

    fn told(
        &self,
        now: Timestamp,
        is_told: impl Fn(&suspect::Suspect, gateway::Fingerprint) -> bool,
    ) -> Vec<gateway::Crash> {
        // What is sent nowhere must not be left out.
        let is_held = |fingerprint: &gateway::Fingerprint| self.held.contains(fingerprint);
        let told = self.suspects.iter().filter(|(found, suspect)| is_told(suspect, **found));
        let mut told: Vec<_> = told.collect();
        told.sort_by_key(|(fingerprint, _)| cmp::Reverse(is_held(fingerprint)));
        let ends = told.into_iter().flat_map(|(fingerprint, suspect)| {
            suspect.ends.iter().map(|(start, end)| self.crash(now, *fingerprint, start, end))
        });
        ends.take(TOLD).collect()
    }

    fn crash(
        &self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
        (endpoint, start): &suspect::Start,
        end: &suspect::End,
    ) -> gateway::Crash {
        let age = end.age(now, self.params.kept).as_millis();
        gateway::Crash {
            fingerprint,
            endpoint: endpoint.clone(),
            start: *start,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            refuted: end.refuted,
        }
    }

    pub(super) fn work_out_mark(&self) -> u64 {
        let shared = self.suspects.iter().filter(|(_, suspect)| suspect.ends.len() >= SHARED);
        let ends = shared.flat_map(|(fingerprint, suspect)| {
            suspect.ends.iter().map(|(start, end)| hash(*fingerprint, start, end.refuted))
        });
        ends.fold(0, |mark, hash| mark ^ hash)
    }
}

fn hash(
    fingerprint: gateway::Fingerprint,
    (endpoint, start): &suspect::Start,
    refuted: bool,
) -> u64 {
    let seed = fingerprint.as_u64() ^ start.rotate_left(1) ^ u64::from(refuted);
    xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed)
}
