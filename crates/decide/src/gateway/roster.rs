//! Which endpoints are listed.

use std::{collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

/// Describes one listed endpoint.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RosterEntry {
    /// The endpoint; most have a new name after a restart.
    pub endpoint: id::EndpointName,
    /// Which start of the endpoint this is, the later the higher; 0 if it does not say.
    #[serde(default)]
    pub start: u64,
    /// The service that it belongs to.
    pub service: id::PoolName,
    /// The version of its software.
    pub version: id::VersionName,
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
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum RosterChange {
    /// The endpoint is new, or its entry has changed.
    Listed(RosterEntry),
    /// The endpoint is gone.
    Gone(id::EndpointName),
}

/// The mark of an empty list.
const EMPTY: u64 = 0;

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
    /// Whether the list may hold entries that are gone, because its reader had not settled when it
    /// read the list.
    may_hold_gone_entries: bool,
    /// Stands for the entries.
    mark: u64,
    /// The latest changes, oldest first.
    steps: collections::VecDeque<Step>,
    entries: collections::BTreeMap<id::EndpointName, RosterEntry>,
}

/// Holds what led from one list to the next.
#[derive(Clone, Debug)]
struct Step {
    /// The mark of the list before.
    from: u64,
    changes: Vec<RosterChange>,
}

/// How long a daemon that has settled waits for the list of a settled reader before it reads the list
/// again; longer than the interval between queries to a reader.
const SETTLED_LIST_WAIT: time::Duration = time::Duration::from_millis(600);

/// How many changes are told another daemon at once: with some 100 bytes each they fit in one datagram.
const TOLD: usize = 100;

/// How many steps are kept for those who missed some: with a list a second more than they need.
const STEPS: usize = 16;

impl Roster {
    /// Creates an empty list.
    pub const fn new(grace: time::Duration) -> Self {
        Self {
            grace,
            steady: None,
            read: None,
            may_hold_gone_entries: false,
            mark: EMPTY,
            steps: collections::VecDeque::new(),
            entries: collections::BTreeMap::new(),
        }
    }

    /// Notes that the source did not answer.
    pub const fn failed(&mut self) {
        self.steady = None;
    }

    /// Takes over that the source has been steady since `since`, as another daemon says who reads it.
    pub fn assume_steady(&mut self, since: Timestamp) {
        self.steady = Some(self.steady.map_or(since, |steady| steady.min(since)));
    }

    /// Says whether missing entries count as gone, if the source has been steady since `since`.
    fn is_settled(&self, now: Timestamp, since: Timestamp) -> bool {
        now.since(since) >= self.grace
    }

    /// Says whether this daemon has known the source to be steady for long enough to tell who is gone.
    pub fn has_settled(&self, now: Timestamp) -> bool {
        self.steady.is_some_and(|own| self.is_settled(now, own))
    }

    /// Returns how long it takes until this daemon can tell who is gone, if nothing intervenes; zero if it can, or does
    /// not know since when the source is steady.
    pub fn settles_in(&self, now: Timestamp) -> time::Duration {
        self.steady.map_or(time::Duration::ZERO, |steady| (steady + self.grace).since(now))
    }

    /// Says whether a list may be followed that a daemon read at `read` which had known the source to be steady since
    /// `since`.
    ///
    /// A daemon that has just started keeps entries that vanish, since an outage may have ended just before.
    /// Whoever knows better must not follow it: endpoints that have left would get work for another
    /// two seconds.
    pub fn may_follow(&self, now: Timestamp, read: Timestamp, since: Timestamp) -> bool {
        !self.has_settled(now) || self.is_settled(read, since)
    }

    /// Takes in that another daemon has a list with `mark`, read at `read`. A list that is older than another one,
    /// and not the same, counts as never read: it has to be read again at once.
    ///
    /// A daemon that was cut off keeps entries that vanished meanwhile. Once it hears for how long the source
    /// has been steady, the next list that it reads tells which of them are gone.
    pub fn compare(&mut self, mark: u64, read: Timestamp) {
        if mark != self.mark && self.read < Some(read) {
            self.read = None;
        }
    }

    /// Says whether the start of an endpoint is still listed so long after a moment that it cannot have ended then: its
    /// entry would have lapsed within `lapse`, and the source has answered for so long.
    pub fn outlived(
        &self,
        now: Timestamp,
        (endpoint, start): &(id::EndpointName, u64),
        moment: Timestamp,
        lapse: time::Duration,
    ) -> bool {
        let is_listed = self.entries.get(endpoint).is_some_and(|entry| entry.start == *start);
        let is_later = self.read.is_some_and(|read| read.since(moment) >= lapse);
        let is_steady = self.steady.is_some_and(|steady| now.since(steady) >= lapse);
        is_listed && is_later && is_steady
    }

    /// Says whether the list was read less than `max_age` ago. A list that may hold entries that are
    /// gone is current only until `SETTLED_LIST_WAIT` after this daemon has settled.
    pub fn is_current(&self, now: Timestamp, max_age: time::Duration) -> bool {
        let is_recent = self.read.is_some_and(|read| now.since(read) < max_age);
        let wait = self.grace + SETTLED_LIST_WAIT;
        let has_waited = self.steady.is_some_and(|steady| now.since(steady) >= wait);
        is_recent && !(self.may_hold_gone_entries && has_waited)
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
        let is_settled = self.is_settled(now, steady);
        let mut missing = std::mem::take(&mut self.entries);
        let mut changes = Vec::new();
        for entry in list {
            let known = missing.remove(&entry.endpoint);
            // What an earlier start wrote late says nothing of the one that is known.
            if let Some(known) = known.as_ref().filter(|known| known.start > entry.start) {
                self.entries.insert(known.endpoint.clone(), known.clone());
                continue;
            }
            if known.as_ref() != Some(&entry) {
                changes.push(RosterChange::Listed(entry.clone()));
            }
            self.entries.insert(entry.endpoint.clone(), entry);
        }
        self.may_hold_gone_entries = !is_settled && !missing.is_empty();
        for (endpoint, entry) in missing {
            if is_settled {
                changes.push(RosterChange::Gone(endpoint));
            } else {
                self.entries.insert(endpoint, entry);
            }
        }
        self.read = Some(now);
        self.remember(&changes);
        changes
    }

    /// Returns what leads from the list with a mark to this one, or `None` if that is not known, or
    /// too much for one datagram. Who has no list yet is told all of it.
    pub fn changes_since(&self, mark: u64) -> Option<Vec<RosterChange>> {
        if mark == self.mark {
            return Some(Vec::new());
        }
        let first = self.steps.iter().rposition(|step| step.from == mark);
        let changes: Vec<_> = match first {
            Some(first) => {
                self.steps.range(first..).flat_map(|step| &step.changes).cloned().collect()
            }
            None if mark == EMPTY => {
                self.entries.values().cloned().map(RosterChange::Listed).collect()
            }
            None => return None,
        };
        (changes.len() <= TOLD).then_some(changes)
    }

    /// Takes in what another daemon says has changed since the list with the mark `from`, and returns
    /// what changes here: nothing if the list is another one by now.
    ///
    /// The other daemon read the list at `read`, and had known the source to be steady since `since`.
    /// It counts missing entries as gone only once it has settled.
    pub fn follow(
        &mut self,
        read: Timestamp,
        since: Timestamp,
        from: u64,
        changes: Vec<RosterChange>,
    ) -> Vec<RosterChange> {
        if from != self.mark {
            return Vec::new();
        }
        for change in &changes {
            match change {
                RosterChange::Listed(entry) => {
                    self.entries.insert(entry.endpoint.clone(), entry.clone());
                }
                RosterChange::Gone(endpoint) => {
                    self.entries.remove(endpoint);
                }
            }
        }
        let is_latest = Some(read) >= self.read;
        let is_settled = self.is_settled(read, since);
        self.may_hold_gone_entries = !is_settled || (self.may_hold_gone_entries && !is_latest);
        self.read = self.read.max(Some(read));
        self.remember(&changes);
        changes
    }

    /// Gives the list its new mark, and keeps what led to it.
    fn remember(&mut self, changes: &[RosterChange]) {
        if changes.is_empty() {
            return;
        }
        self.steps.push_back(Step { from: self.mark, changes: changes.to_vec() });
        if self.steps.len() > STEPS {
            self.steps.pop_front();
        }
        self.mark = mark(&self.entries);
    }
}

fn mark(entries: &collections::BTreeMap<id::EndpointName, RosterEntry>) -> u64 {
    if entries.is_empty() {
        return EMPTY;
    }
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    for entry in entries.values() {
        hasher.update(format!("{entry:?}").as_bytes());
    }
    hasher.digest()
}
