//! Counts of the records, reads and writes.

use std::sync::{Arc, atomic};

/// Counters of the records, reads and writes; clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct Stats(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    rows: atomic::AtomicU64,
    batches: atomic::AtomicU64,
    writes: atomic::AtomicU64,
    reads: atomic::AtomicU64,
    conflicts: atomic::AtomicU64,
    lost: atomic::AtomicU64,
    refused: atomic::AtomicU64,
    written_bytes: atomic::AtomicU64,
    forwarded: atomic::AtomicU64,
    calls: atomic::AtomicU64,
    deleted: atomic::AtomicU64,
}

/// The values of the counters at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// Records in the batches that this daemon committed for itself and for peers, whatever the outcome.
    pub rows: u64,
    /// Batches in which the records were committed.
    pub batches: u64,
    /// Writes to the key-value service.
    pub writes: u64,
    /// Reads from the key-value service.
    pub reads: u64,
    /// Writes that conflicted with another write.
    pub conflicts: u64,
    /// Writes whose answer was lost.
    pub lost: u64,
    /// Failed writes and reads, except conflicts and writes whose answer was lost.
    pub refused: u64,
    /// Bytes of the values in all writes, including writes that failed.
    pub written_bytes: u64,
    /// Records that were sent to a peer.
    pub forwarded: u64,
    /// Calls in which records were sent to a peer.
    pub calls: u64,
    /// Parts that were deleted after the end of their retention.
    pub deleted: u64,
}

impl Stats {
    /// Returns the counts.
    pub fn counts(&self) -> Counts {
        let get = |count: &atomic::AtomicU64| count.load(atomic::Ordering::Relaxed);
        Counts {
            rows: get(&self.0.rows),
            batches: get(&self.0.batches),
            writes: get(&self.0.writes),
            reads: get(&self.0.reads),
            conflicts: get(&self.0.conflicts),
            lost: get(&self.0.lost),
            refused: get(&self.0.refused),
            written_bytes: get(&self.0.written_bytes),
            forwarded: get(&self.0.forwarded),
            calls: get(&self.0.calls),
            deleted: get(&self.0.deleted),
        }
    }

    pub(super) fn count_batch(&self, rows: usize) {
        add(&self.0.batches, usize::from(rows > 0));
        add(&self.0.rows, rows);
    }

    pub(super) fn count_call(&self, rows: usize) {
        add(&self.0.calls, 1);
        add(&self.0.forwarded, rows);
    }

    pub(super) fn count_write(&self, bytes: usize) {
        add(&self.0.writes, 1);
        add(&self.0.written_bytes, bytes);
    }

    pub(super) fn count_read(&self) {
        add(&self.0.reads, 1);
    }

    pub(super) fn count_conflict(&self) {
        add(&self.0.conflicts, 1);
    }

    pub(super) fn count_lost(&self) {
        add(&self.0.lost, 1);
    }

    pub(super) fn count_refused(&self) {
        add(&self.0.refused, 1);
    }

    pub(super) fn count_deleted(&self) {
        add(&self.0.deleted, 1);
    }
}

fn add(count: &atomic::AtomicU64, amount: usize) {
    count.fetch_add(amount as u64, atomic::Ordering::Relaxed);
}
