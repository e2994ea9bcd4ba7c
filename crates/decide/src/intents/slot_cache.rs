//! One daemon's copy of the records in one slot.

use std::collections;

use trefoildyke_types::{id, request};

use crate::intents;

/// One daemon's copy of the records in one slot.
///
/// The copy may lack rows that exist in the key-value service, but every row in it is correct, because
/// rows are never changed or removed before the retention ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SlotCache {
    records: collections::BTreeMap<id::RequestKey, request::Record>,
    /// The last part as of `revision`; never sealed.
    last_part: intents::Part,
    /// The index of the last part. All parts before it are sealed, and their records are in `records`.
    index: u32,
    /// The revision of `last_part`; 0 if the part is not known to exist.
    revision: u64,
    /// Whether `last_part` and `revision` are the latest known state; otherwise a read is required.
    current: bool,
    /// Whether parts have been deleted, which means that the retention has ended.
    deleted: bool,
}

impl SlotCache {
    /// Returns the record of a request, if it is known.
    pub fn find(&self, key: &id::RequestKey) -> Option<&request::Record> {
        self.records.get(key)
    }

    /// Returns the number of known records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no record is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) const fn index(&self) -> u32 {
        self.index
    }

    pub(super) const fn is_deleted(&self) -> bool {
        self.deleted
    }

    /// Returns the last part and its revision, or `None` if the part must be read first.
    pub(super) const fn last(&self) -> Option<(&intents::Part, u64)> {
        if self.current { Some((&self.last_part, self.revision)) } else { None }
    }

    /// Marks the last part as possibly changed, so that it is read again.
    pub(super) const fn mark_stale(&mut self) {
        self.current = false;
    }

    /// Applies the result of a read that started at the last part.
    pub(super) fn apply_read(&mut self, found: Vec<intents::Stored>) {
        if found.is_empty() {
            self.deleted |= self.revision > 0;
            self.current = true;
        }
        for stored in found {
            self.merge(stored);
        }
    }

    /// Applies the result of a write that conflicted with `existing`.
    pub(super) fn apply_conflict(&mut self, existing: Option<intents::Stored>) {
        match existing {
            Some(stored) => self.merge(stored),
            None => {
                self.deleted |= self.revision > 0;
                self.current = false;
            }
        }
    }

    /// Applies a write by this daemon that took effect.
    pub(super) fn apply_write(&mut self, part: intents::Part, revision: u64) {
        let sealed = part.sealed;
        self.merge(intents::Stored { index: self.index, revision, part });
        // Another daemon is unlikely to have added the next part already; if one has, the next write
        // conflicts.
        self.current |= sealed;
    }

    /// Merges a stored part into the copy.
    fn merge(&mut self, stored: intents::Stored) {
        if stored.index != self.index {
            self.deleted = true;
            return;
        }
        let rows = stored.part.rows.iter().map(|row| (row.key.clone(), row.record.clone()));
        self.records.extend(rows);
        if stored.part.sealed {
            self.index += 1;
            self.last_part = intents::Part::default();
            self.revision = 0;
            self.current = false;
        } else {
            self.last_part = stored.part;
            self.revision = stored.revision;
            self.current = true;
        }
    }
}
