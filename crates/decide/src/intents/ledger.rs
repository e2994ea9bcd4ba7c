//! What one daemon knows of one slot.

use std::collections;

use trefoildyke_types::{id, request};

use crate::intents;

/// Holds what one daemon knows of one slot.
///
/// It may be behind what stands in the key-value service, but what it knows is true: rows are
/// never changed or removed before the retention ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    known: collections::BTreeMap<id::RequestKey, request::Record>,
    /// The last part, as it stood at `seen`; never sealed.
    open: intents::Part,
    /// The index of the last part. All parts before it are sealed and known.
    index: u32,
    /// The revision of `open`; 0 if it has not been seen to exist.
    seen: u64,
    /// Whether `open` and `seen` are the last that this daemon has heard; otherwise it must read.
    current: bool,
    /// Whether parts have been deleted, which means that the retention is over.
    deleted: bool,
}

impl Ledger {
    /// Returns the record of a request, if it is known.
    pub fn find(&self, key: &id::RequestKey) -> Option<&request::Record> {
        self.known.get(key)
    }

    /// Returns how many records are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no record is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub(super) const fn index(&self) -> u32 {
        self.index
    }

    pub(super) const fn is_deleted(&self) -> bool {
        self.deleted
    }

    /// Returns the last part with its revision, unless it has to be read first.
    pub(super) const fn last(&self) -> Option<(&intents::Part, u64)> {
        if self.current { Some((&self.open, self.seen)) } else { None }
    }

    /// Takes note that the last part may have changed.
    pub(super) const fn doubt(&mut self) {
        self.current = false;
    }

    /// Takes note of what a read from the last part on has found.
    pub(super) fn read(&mut self, found: Vec<intents::Stored>) {
        if found.is_empty() {
            self.deleted |= self.seen > 0;
            self.current = true;
        }
        for stored in found {
            self.learn(stored);
        }
    }

    /// Takes note of what stands in place of what a write expected.
    pub(super) fn conflict(&mut self, stands: Option<intents::Stored>) {
        match stands {
            Some(stored) => self.learn(stored),
            None => {
                self.deleted |= self.seen > 0;
                self.current = false;
            }
        }
    }

    /// Takes note of a part that this daemon has written.
    pub(super) fn wrote(&mut self, part: intents::Part, revision: u64) {
        let sealed = part.sealed;
        self.learn(intents::Stored { index: self.index, revision, part });
        // Nobody else is likely to have added the next part yet; if so, the write conflicts.
        self.current |= sealed;
    }

    fn learn(&mut self, stored: intents::Stored) {
        if stored.index != self.index {
            self.deleted = true;
            return;
        }
        let rows = stored.part.rows.iter().map(|row| (row.key.clone(), row.record.clone()));
        self.known.extend(rows);
        if stored.part.sealed {
            self.index += 1;
            self.open = intents::Part::default();
            self.seen = 0;
            self.current = false;
        } else {
            self.open = stored.part;
            self.seen = stored.revision;
            self.current = true;
        }
    }
}
