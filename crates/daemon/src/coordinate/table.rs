//! The requests at this daemon by key.

use std::{collections, sync};

use tokio::time;
use trefoildyke_types::id;

use crate::{
    coordinate::{buffer, entry},
    settings,
};

/// A finished answer that is still readable.
struct Finished {
    key: id::RequestKey,
    entry: sync::Weak<entry::Entry>,
    finished_at: time::Instant,
    bytes: usize,
}

#[derive(Default)]
pub(super) struct Entries {
    by_key: collections::HashMap<id::RequestKey, sync::Arc<entry::Entry>>,
    /// Finished answers that are kept, the oldest first.
    finished: collections::VecDeque<Finished>,
    /// The sum of `bytes` over `finished`.
    bytes: usize,
}

/// All requests in progress and, within bounds on time and memory, finished answers.
pub(super) struct Table {
    settings: settings::Coordinate,
    entries: sync::Mutex<Entries>,
}

impl Table {
    pub(super) fn new(settings: settings::Coordinate) -> Self {
        Self { settings, entries: sync::Mutex::default() }
    }

    pub(super) fn get(&self, key: &id::RequestKey) -> Option<sync::Arc<entry::Entry>> {
        self.lock().by_key.get(key).cloned()
    }

    /// Locks the table, so that a decision and the insertion that follows it are atomic.
    pub(super) fn lock(&self) -> sync::MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Removes a request that has ended, or keeps its answer for callers that resume it.
    ///
    /// Only results that stay true are kept: a complete answer, and a failure that the endpoint reported.
    pub(super) fn complete(&self, entry: &sync::Arc<entry::Entry>) {
        let mut entries = self.lock();
        let is_kept = match entry.end() {
            Some(buffer::End::Whole) => true,
            Some(buffer::End::Refused(refusal)) => {
                refusal.kind == trefoildyke_types::request::RefusalKind::Failed
            }
            Some(buffer::End::Abandoned) | None => false,
        };
        if is_kept {
            entries.keep(entry);
        } else {
            entries.remove(&entry.key, entry);
        }
        entries.evict(&self.settings);
    }

    /// Removes answers that have exceeded the bounds on time or memory.
    pub(super) fn sweep(&self) {
        self.lock().evict(&self.settings);
    }

    /// Returns every request in progress.
    pub(super) fn running(&self) -> Vec<sync::Arc<entry::Entry>> {
        let entries = self.lock();
        entries.by_key.values().filter(|entry| entry.end().is_none()).cloned().collect()
    }
}

impl Entries {
    pub(super) fn get(&self, key: &id::RequestKey) -> Option<&sync::Arc<entry::Entry>> {
        self.by_key.get(key)
    }

    pub(super) fn insert(&mut self, entry: sync::Arc<entry::Entry>) {
        self.by_key.insert(entry.key.clone(), entry);
    }

    fn keep(&mut self, entry: &sync::Arc<entry::Entry>) {
        let bytes = entry.bytes();
        self.bytes += bytes;
        self.finished.push_back(Finished {
            key: entry.key.clone(),
            entry: sync::Arc::downgrade(entry),
            finished_at: time::Instant::now(),
            bytes,
        });
    }

    fn evict(&mut self, settings: &settings::Coordinate) {
        while let Some(oldest) = self.finished.front() {
            let is_expired = oldest.finished_at.elapsed() >= settings.keep();
            if !is_expired && self.bytes <= settings.keep_bytes {
                return;
            }
            self.bytes -= oldest.bytes;
            if let Some(oldest) = self.finished.pop_front()
                && let Some(entry) = oldest.entry.upgrade()
            {
                self.remove(&oldest.key, &entry);
            }
        }
    }

    /// Removes the entry, unless the key already belongs to another entry.
    fn remove(&mut self, key: &id::RequestKey, entry: &sync::Arc<entry::Entry>) {
        if self.by_key.get(key).is_some_and(|other| sync::Arc::ptr_eq(other, entry)) {
            self.by_key.remove(key);
        }
    }
}
