//! One request at this daemon, shared by its driver and its readers.

use std::sync;
use std::sync::atomic;

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::coordinate;
use trefoildyke_types::{id, request};

use crate::coordinate::kept;

/// One request at this daemon.
pub(super) struct Entry {
    pub(super) key: id::RequestKey,
    pub(super) fingerprint: u64,
    kept: sync::Mutex<kept::Kept>,
    /// Rises with each change of `kept`.
    changes: watch::Sender<u64>,
    /// What the driver is told from outside.
    signals: mpsc::UnboundedSender<coordinate::Input>,
    readers: atomic::AtomicUsize,
}

impl Entry {
    /// Creates the entry and the driver's end of its signals.
    pub(super) fn new(
        key: id::RequestKey,
        fingerprint: u64,
    ) -> (sync::Arc<Self>, mpsc::UnboundedReceiver<coordinate::Input>) {
        let (signals, received) = mpsc::unbounded_channel();
        let entry = Self {
            key,
            fingerprint,
            kept: sync::Mutex::default(),
            changes: watch::Sender::new(0),
            signals,
            readers: atomic::AtomicUsize::new(0),
        };
        (sync::Arc::new(entry), received)
    }

    /// Tells the driver; one that has ended needs no telling.
    pub(super) fn signal(&self, input: coordinate::Input) {
        let _ = self.signals.send(input);
    }

    pub(super) fn push(&self, chunk: request::Chunk) {
        self.lock().push(chunk);
        self.changed();
    }

    /// Takes note of a caller that joins; returns whether it can.
    pub(super) fn join(&self, is_second: bool) -> bool {
        self.lock().join(is_second)
    }

    /// Returns whether a caller has joined that had sent the request to other daemons too.
    pub(super) fn is_second(&self) -> bool {
        self.lock().is_second()
    }

    /// Ends the answer with a refusal that was decided for a request of which `knew_second`.
    pub(super) fn refuse(&self, refusal: request::Refusal, knew_second: bool) {
        self.lock().refuse(refusal, knew_second);
        self.changed();
    }

    pub(super) fn finish(&self, end: kept::End) {
        self.lock().finish(end);
        self.changed();
    }

    pub(super) fn end(&self) -> Option<kept::End> {
        self.lock().end().cloned()
    }

    pub(super) fn len(&self) -> usize {
        self.lock().len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.lock().bytes()
    }

    /// Returns what comes at `offset`, waiting while there is nothing.
    pub(super) async fn next(&self, offset: u64) -> kept::Piece {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            let piece = self.lock().piece(self.key.id, offset);
            if !matches!(piece, kept::Piece::Nothing) {
                return piece;
            }
            if changes.changed().await.is_err() {
                return kept::Piece::Abandoned;
            }
        }
    }

    pub(super) fn reader_came(&self) {
        self.readers.fetch_add(1, atomic::Ordering::AcqRel);
    }

    pub(super) fn has_readers(&self) -> bool {
        self.readers.load(atomic::Ordering::Acquire) > 0
    }

    /// Notes that a reader has gone; the driver learns when it was the last.
    pub(super) fn reader_went(&self) {
        if self.readers.fetch_sub(1, atomic::Ordering::AcqRel) == 1 {
            self.signal(coordinate::Input::CallerGone);
        }
    }

    fn changed(&self) {
        self.changes.send_modify(|change| *change += 1);
    }

    fn lock(&self) -> sync::MutexGuard<'_, kept::Kept> {
        self.kept.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
