//! Which endpoints are listed.

use std::{collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

/// Describes one listed endpoint.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RosterEntry {
    /// The endpoint's incarnation; a restart has a new one.
    pub endpoint: id::EndpointName,
    /// The service that it belongs to.
    pub service: id::PoolName,
    /// Where it listens; used again by others after its end.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: id::ZoneName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it gets no new work.
    pub draining: bool,
}

/// Says what a new list changes.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterChange {
    /// The endpoint is new, or its entry has changed.
    Listed(RosterEntry),
    /// The endpoint is gone.
    Gone(id::EndpointName),
}

/// Follows the list of endpoints over outages of its source.
///
/// Entries vanish from the list when their endpoint ends, but also when the source itself was
/// away for too long to hear from it. After an outage, missing entries therefore count as gone
/// only once the endpoints had time to list themselves again.
#[derive(Clone, Debug)]
pub struct Roster {
    /// How long entries may be missing after an outage.
    grace: time::Duration,
    /// When the source began to answer without a break.
    steady: Option<Timestamp>,
    /// When the list was read last.
    read: Option<Timestamp>,
    /// Stands for the entries.
    mark: u64,
    entries: collections::BTreeMap<id::EndpointName, RosterEntry>,
}

impl Roster {
    /// Creates an empty list.
    pub const fn new(grace: time::Duration) -> Self {
        Self { grace, steady: None, read: None, mark: 0, entries: collections::BTreeMap::new() }
    }

    /// Notes that the source did not answer.
    pub const fn failed(&mut self) {
        self.steady = None;
    }

    /// Takes over that the source has been steady since `since`, as another daemon says who reads it.
    pub fn assume_steady(&mut self, since: Timestamp) {
        self.steady = Some(self.steady.map_or(since, |steady| steady.min(since)));
    }

    /// Returns since when the source has answered without a break.
    pub const fn steady(&self) -> Option<Timestamp> {
        self.steady
    }

    /// Returns when the list was read last.
    pub const fn read(&self) -> Option<Timestamp> {
        self.read
    }

    /// Returns a number that is the same for equal lists.
    pub const fn mark(&self) -> u64 {
        self.mark
    }

    /// Returns how many endpoints are listed.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Says whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes in the whole list, as it was at `now` or later, and returns what changes.
    pub fn replace(&mut self, now: Timestamp, list: Vec<RosterEntry>) -> Vec<RosterChange> {
        let steady = *self.steady.get_or_insert(now);
        let is_settled = now.since(steady) >= self.grace;
        let mut missing = std::mem::take(&mut self.entries);
        let mut changes = Vec::new();
        for entry in list {
            if missing.remove(&entry.endpoint).as_ref() != Some(&entry) {
                changes.push(RosterChange::Listed(entry.clone()));
            }
            self.entries.insert(entry.endpoint.clone(), entry);
        }
        for (endpoint, entry) in missing {
            if is_settled {
                changes.push(RosterChange::Gone(endpoint));
            } else {
                self.entries.insert(endpoint, entry);
            }
        }
        self.read = Some(now);
        if !changes.is_empty() {
            self.mark = mark(&self.entries);
        }
        changes
    }
}

fn mark(entries: &collections::BTreeMap<id::EndpointName, RosterEntry>) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    for entry in entries.values() {
        hasher.update(format!("{entry:?}").as_bytes());
    }
    hasher.digest()
}
