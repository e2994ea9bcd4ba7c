//! The list of endpoints.

use std::{collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

/// One endpoint in the list.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RosterEntry {
    /// The endpoint; most endpoints have a new name after a restart.
    pub endpoint: id::EndpointName,
    /// The number of the endpoint's start; later starts have higher numbers. 0 if the endpoint does
    /// not report it.
    #[serde(default)]
    pub start: u64,
    /// The service that the endpoint belongs to.
    pub service: id::PoolName,
    /// The version of the endpoint's software.
    pub version: id::VersionName,
    /// The address on which the endpoint listens; another endpoint may reuse it later.
    pub address: net::SocketAddr,
    /// The endpoint's availability zone.
    pub zone: id::ZoneName,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint gets no new work.
    pub draining: bool,
}

/// A difference between two versions of the list.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum RosterChange {
    /// The endpoint is new, or its entry has changed.
    Listed(RosterEntry),
    /// The endpoint is no longer listed.
    Gone(id::EndpointName),
}

/// The hash of an empty list.
const EMPTY_HASH: u64 = 0;

/// The list of endpoints, kept over outages of its source.
///
/// Entries disappear from the source when their endpoint ends, but also when the source itself was
/// unavailable for too long to receive the endpoint's heartbeats. After an outage, missing entries
/// therefore count as gone only after a grace period in which the endpoints can register again.
#[derive(Clone, Debug)]
pub struct Roster {
    /// How long entries may be missing after an outage before they count as gone.
    grace: time::Duration,
    /// Since when the source has answered without a failure; `None` if that is not known.
    available_since: Option<Timestamp>,
    /// The last time as of which the source is known to have answered this daemon or a reader.
    answered_at: Option<Timestamp>,
    /// The time at which the list was last read.
    read_at: Option<Timestamp>,
    /// When the query was sent that returned this list: all entries of that time are known.
    queried_at: Option<Timestamp>,
    /// Whether the list may hold entries of endpoints that are gone, because its reader had not
    /// settled when it read the list.
    may_hold_gone_entries: bool,
    /// The hash of the entries.
    hash: u64,
    /// The latest updates of the list, oldest first.
    updates: collections::VecDeque<Update>,
    entries: collections::BTreeMap<id::EndpointName, RosterEntry>,
}

/// An update from one list to the next.
#[derive(Clone, Debug)]
struct Update {
    /// The hash of the list before the update.
    base_hash: u64,
    changes: Vec<RosterChange>,
}

/// How long a daemon that has settled waits for the list of a settled reader before it reads the
/// list again; longer than the interval between queries to a reader.
const SETTLED_LIST_WAIT: time::Duration = time::Duration::from_millis(600);

/// How long the source may answer nobody without entries expiring: an entry expires after three
/// missed heartbeats, which are a second or more apart.
const MAX_SILENCE: time::Duration = time::Duration::from_millis(1_500);

/// The maximum number of changes in one message: at about 100 bytes each, they fit in one datagram.
const MAX_CHANGES: usize = 100;

/// The number of updates kept for daemons that missed some; more than they need with one list per
/// second.
const MAX_UPDATES: usize = 16;

impl Roster {
    /// Creates an empty list.
    pub const fn new(grace: time::Duration) -> Self {
        Self {
            grace,
            available_since: None,
            answered_at: None,
            read_at: None,
            queried_at: None,
            may_hold_gone_entries: false,
            hash: EMPTY_HASH,
            updates: collections::VecDeque::new(),
            entries: collections::BTreeMap::new(),
        }
    }

    /// Records that the source did not answer.
    pub const fn failed(&mut self) {
        self.available_since = None;
    }

    /// Records that the source has been available since `since`, as reported by another daemon that
    /// reads it.
    pub fn assume_available(&mut self, since: Timestamp) {
        self.available_since = Some(self.available_since.map_or(since, |known| known.min(since)));
    }

    /// Records that the source answered a reader at `as_of`.
    pub fn record_answer(&mut self, as_of: Timestamp) {
        self.answered_at = self.answered_at.max(Some(as_of));
    }

    /// Records that a reader does not know since when the source has been available.
    ///
    /// The source may have refused only that reader. What this daemon knows becomes invalid only if
    /// the source has not been known to answer anyone for so long that entries may have expired.
    pub fn record_unknown(&mut self, now: Timestamp) {
        if self.answered_at.is_none_or(|at| now.since(at) > MAX_SILENCE) {
            self.failed();
        }
    }

    /// Returns whether the source has been available for the grace period, so that missing entries
    /// count as gone, if it has been available since `since`.
    fn is_settled(&self, now: Timestamp, since: Timestamp) -> bool {
        now.since(since) >= self.grace
    }

    /// Returns whether this daemon has settled: it has known the source to be available for the
    /// grace period, so that missing entries count as gone.
    pub fn has_settled(&self, now: Timestamp) -> bool {
        self.available_since.is_some_and(|own| self.is_settled(now, own))
    }

    /// Returns the time until this daemon settles if the source stays available; zero if it has
    /// settled, or does not know since when the source has been available.
    pub fn settles_in(&self, now: Timestamp) -> time::Duration {
        self.available_since.map_or(time::Duration::ZERO, |since| (since + self.grace).since(now))
    }

    /// Returns whether to accept a list that another daemon read at `read_at`, when that daemon had
    /// known the source to be available since `since`.
    ///
    /// A daemon that has just started keeps entries that disappear, since an outage may have ended
    /// just before. A daemon that has settled must not accept such a list: endpoints that have left
    /// would get work for another two seconds.
    pub fn may_accept(&self, now: Timestamp, read_at: Timestamp, since: Timestamp) -> bool {
        !self.has_settled(now) || self.is_settled(read_at, since)
    }

    /// Compares the list with that of another daemon, which has the hash `hash` and was read at
    /// `read_at`.
    ///
    /// If this list is older and different, it counts as never read, so that it is read again at
    /// once. A daemon that was cut off keeps entries that disappeared in the meantime. Once it
    /// hears for how long the source has been available, the next list that it reads shows which of
    /// them are gone.
    pub fn record_other_list(&mut self, hash: u64, read_at: Timestamp) {
        if hash != self.hash && self.read_at < Some(read_at) {
            self.read_at = None;
        }
    }

    /// Returns whether the given start of an endpoint is still listed so long after `moment` that
    /// it cannot have ended then.
    ///
    /// The entry would have expired within `entry_ttl`, so the list must have been read at least
    /// that long after `moment`, and the source must have been available for at least that long.
    pub fn was_listed_after(
        &self,
        now: Timestamp,
        (endpoint, start): &(id::EndpointName, u64),
        moment: Timestamp,
        entry_ttl: time::Duration,
    ) -> bool {
        let is_listed = self.entries.get(endpoint).is_some_and(|entry| entry.start == *start);
        let is_later = self.read_at.is_some_and(|read_at| read_at.since(moment) >= entry_ttl);
        let was_available = self.available_since.is_some_and(|since| now.since(since) >= entry_ttl);
        is_listed && is_later && was_available
    }

    /// Returns whether the list was read less than `max_age` ago. A list that may hold entries that
    /// are gone is current only until `SETTLED_LIST_WAIT` after this daemon has settled.
    pub fn is_current(&self, now: Timestamp, max_age: time::Duration) -> bool {
        let is_recent = self.read_at.is_some_and(|read_at| now.since(read_at) < max_age);
        let wait = self.grace + SETTLED_LIST_WAIT;
        let has_waited = self.available_since.is_some_and(|since| now.since(since) >= wait);
        is_recent && !(self.may_hold_gone_entries && has_waited)
    }

    /// Returns since when the source has answered without a failure.
    pub const fn available_since(&self) -> Option<Timestamp> {
        self.available_since
    }

    /// Returns the time at which the list was last read.
    pub const fn read(&self) -> Option<Timestamp> {
        self.read_at
    }

    /// Records that this list is the answer to a query that was sent at `queried_at`.
    pub fn record_query(&mut self, queried_at: Timestamp) {
        self.queried_at = self.queried_at.max(Some(queried_at));
    }

    /// Returns when the query was sent that returned this list.
    ///
    /// That time may lie long before [`Self::read`]: the answer may have been slow, or the host suspended.
    pub const fn queried(&self) -> Option<Timestamp> {
        self.queried_at
    }

    /// Returns a hash of the list; equal lists have equal hashes.
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the listed endpoints.
    pub fn entries(&self) -> impl Iterator<Item = &RosterEntry> {
        self.entries.values()
    }

    /// Returns the number of listed endpoints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the address of a listed endpoint.
    pub fn address(&self, endpoint: &id::EndpointName) -> Option<net::SocketAddr> {
        self.entries.get(endpoint).map(|entry| entry.address)
    }

    /// Returns the entry of a listed endpoint.
    pub fn entry(&self, endpoint: &id::EndpointName) -> Option<&RosterEntry> {
        self.entries.get(endpoint)
    }

    /// Replaces the list by one that was valid at `now` or later, and returns the changes.
    pub fn replace(&mut self, now: Timestamp, list: Vec<RosterEntry>) -> Vec<RosterChange> {
        let available_since = *self.available_since.get_or_insert(now);
        self.record_answer(now);
        let is_settled = self.is_settled(now, available_since);
        let mut missing = std::mem::take(&mut self.entries);
        let mut changes = Vec::new();
        for entry in list {
            let known = missing.remove(&entry.endpoint);
            // A late write of an earlier start must not replace the entry of the known start.
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
        self.read_at = Some(now);
        self.record_changes(&changes);
        changes
    }

    /// Returns the changes that lead from the list with the hash `hash` to this one.
    ///
    /// Returns `None` if the changes are not known or do not fit in one datagram. For an empty
    /// list, returns all entries.
    pub fn changes_since(&self, hash: u64) -> Option<Vec<RosterChange>> {
        if hash == self.hash {
            return Some(Vec::new());
        }
        let first = self.updates.iter().rposition(|update| update.base_hash == hash);
        let changes: Vec<_> = match first {
            Some(first) => {
                self.updates.range(first..).flat_map(|update| &update.changes).cloned().collect()
            }
            None if hash == EMPTY_HASH => {
                self.entries.values().cloned().map(RosterChange::Listed).collect()
            }
            None => return None,
        };
        (changes.len() <= MAX_CHANGES).then_some(changes)
    }

    /// Applies changes reported by another daemon to the list with the hash `base_hash`, and returns the
    /// changes made: none if this list has another hash by now.
    ///
    /// The other daemon read the list at `read_at`, when it had known the source to be available since
    /// `since`. It counts missing entries as gone only once it has settled.
    pub fn apply_changes(
        &mut self,
        read_at: Timestamp,
        since: Timestamp,
        base_hash: u64,
        changes: Vec<RosterChange>,
    ) -> Vec<RosterChange> {
        if base_hash != self.hash {
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
        let is_latest = Some(read_at) >= self.read_at;
        let is_settled = self.is_settled(read_at, since);
        self.may_hold_gone_entries = !is_settled || (self.may_hold_gone_entries && !is_latest);
        self.read_at = self.read_at.max(Some(read_at));
        self.record_changes(&changes);
        changes
    }

    /// Updates the hash of the list, and stores the changes for daemons that have the previous
    /// list.
    fn record_changes(&mut self, changes: &[RosterChange]) {
        if changes.is_empty() {
            return;
        }
        self.updates.push_back(Update { base_hash: self.hash, changes: changes.to_vec() });
        if self.updates.len() > MAX_UPDATES {
            self.updates.pop_front();
        }
        self.hash = hash_entries(&self.entries);
    }
}

fn hash_entries(entries: &collections::BTreeMap<id::EndpointName, RosterEntry>) -> u64 {
    if entries.is_empty() {
        return EMPTY_HASH;
    }
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    for entry in entries.values() {
        hasher.update(format!("{entry:?}").as_bytes());
    }
    hasher.digest()
}
