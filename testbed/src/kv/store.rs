//! The keys, leases and changes.

use std::{collections, time};

use trefoildyke_wire::platform::message;

/// Holds the keys in memory.
#[derive(Debug)]
pub(crate) struct Store {
    entries: collections::BTreeMap<String, message::Entry>,
    leases: collections::BTreeMap<message::LeaseNumber, Lease>,
    /// The latest changes, oldest first, at most `kept`.
    history: collections::VecDeque<message::WatchEvent>,
    kept: usize,
    /// The highest revision of a change that `history` has lost.
    forgotten: u64,
    revision: u64,
    granted: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: time::Duration,
    ends: time::Instant,
}

/// Says why a write changed nothing.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum WriteError {
    Conflict(message::Conflict),
    LeaseGone,
}

impl Store {
    pub(crate) fn new(kept: usize) -> Self {
        Self {
            entries: collections::BTreeMap::new(),
            leases: collections::BTreeMap::new(),
            history: collections::VecDeque::new(),
            kept,
            forgotten: 0,
            revision: 0,
            granted: 0,
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn get(&self, key: &str) -> message::GetReply {
        message::GetReply { entry: self.entries.get(key).cloned(), revision: self.revision }
    }

    pub(crate) fn list(&self, list: &message::List) -> message::ListReply {
        let start = std::ops::Bound::Excluded(list.after.as_str());
        let mut found = self
            .entries
            .range::<str, _>((start, std::ops::Bound::Unbounded))
            .map(|(_, entry)| entry)
            .skip_while(|entry| entry.key.as_str() < list.prefix.as_str())
            .take_while(|entry| entry.key.starts_with(&list.prefix));
        let entries = found.by_ref().take(list.limit).cloned().collect();
        message::ListReply { entries, more: found.next().is_some(), revision: self.revision }
    }

    pub(crate) fn put(&mut self, put: message::Put) -> Result<message::Written, WriteError> {
        self.check(&put.key, put.expect)?;
        if put.lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(WriteError::LeaseGone);
        }
        let revision = self.record(&put.key, Some(put.value.clone()));
        let entry =
            message::Entry { key: put.key.clone(), value: put.value, revision, lease: put.lease };
        self.entries.insert(put.key, entry);
        Ok(message::Written { revision })
    }

    pub(crate) fn delete(&mut self, key: &str, expect: Option<u64>) -> Result<u64, WriteError> {
        self.check(key, expect)?;
        if self.entries.remove(key).is_some() {
            self.record(key, None);
        }
        Ok(self.revision)
    }

    pub(crate) fn grant(&mut self, ttl: time::Duration, now: time::Instant) -> message::LeaseRef {
        self.granted += 1;
        let lease = message::LeaseNumber(self.granted);
        self.leases.insert(lease, Lease { ttl, ends: now + ttl });
        message::LeaseRef { lease }
    }

    pub(crate) fn renew(
        &mut self,
        lease: message::LeaseNumber,
        now: time::Instant,
    ) -> Result<(), WriteError> {
        let lease = self.leases.get_mut(&lease).ok_or(WriteError::LeaseGone)?;
        lease.ends = now + lease.ttl;
        Ok(())
    }

    pub(crate) fn revoke(&mut self, lease: message::LeaseNumber) {
        self.leases.remove(&lease);
        let held = self.entries.values().filter(|entry| entry.lease == Some(lease));
        let keys: Vec<String> = held.map(|entry| entry.key.clone()).collect();
        for key in keys {
            self.entries.remove(&key);
            self.record(&key, None);
        }
    }

    /// Ends the leases that have not been renewed in time.
    pub(crate) fn expire(&mut self, now: time::Instant) {
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ended: Vec<message::LeaseNumber> = ended.map(|(number, _)| *number).collect();
        for lease in ended {
            self.revoke(lease);
        }
    }

    /// Returns the changes below `prefix` after a revision, or `None` if some are forgotten.
    pub(crate) fn changes(&self, prefix: &str, after: u64) -> Option<Vec<message::WatchEvent>> {
        if after < self.forgotten {
            return None;
        }
        let later = self.history.iter().filter(|event| event.revision > after);
        Some(later.filter(|event| event.key.starts_with(prefix)).cloned().collect())
    }

    fn check(&self, key: &str, expect: Option<u64>) -> Result<(), WriteError> {
        let current = self.entries.get(key);
        let revision = current.map_or(0, |entry| entry.revision);
        if expect.is_none_or(|expect| expect == revision) {
            return Ok(());
        }
        Err(WriteError::Conflict(message::Conflict { current: current.cloned() }))
    }

    fn record(&mut self, key: &str, value: Option<String>) -> u64 {
        self.revision += 1;
        let event = message::WatchEvent { key: key.to_owned(), value, revision: self.revision };
        self.history.push_back(event);
        while self.history.len() > self.kept {
            self.forgotten =
                self.history.pop_front().map_or(self.forgotten, |event| event.revision);
        }
        self.revision
    }
}
