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
    entries: collections::BTreeMap<id::EndpointName, RosterEntry>,
}

impl Roster {
    /// Creates an empty list.
    pub const fn new(grace: time::Duration) -> Self {
        Self { grace, steady: None, entries: collections::BTreeMap::new() }
    }

    /// Notes that the source did not answer.
    pub const fn failed(&mut self) {
        self.steady = None;
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
        changes
    }
}
