//! The state of one request that its driver and its readers share.

use std::sync;
use std::sync::atomic;

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::coordinate;
use trefoildyke_types::{id, request};

use crate::coordinate::buffer;

/// A request at this daemon with its answer, shared by its driver and its readers.
pub(super) struct Entry {
    pub(super) key: id::RequestKey,
    pub(super) fingerprint: u64,
    buffer: sync::Mutex<buffer::AnswerBuffer>,
    /// A counter that rises with each change of `buffer`.
    changes: watch::Sender<u64>,
    /// Inputs to the driver from readers and from a graceful stop.
    signals: mpsc::UnboundedSender<coordinate::Input>,
    readers: atomic::AtomicUsize,
}

impl Entry {
    /// Creates an entry and the receiver of its signals for the driver.
    pub(super) fn new(
        key: id::RequestKey,
        fingerprint: u64,
    ) -> (sync::Arc<Self>, mpsc::UnboundedReceiver<coordinate::Input>) {
        let (signals, receiver) = mpsc::unbounded_channel();
        let entry = Self {
            key,
            fingerprint,
            buffer: sync::Mutex::default(),
            changes: watch::Sender::new(0),
            signals,
            readers: atomic::AtomicUsize::new(0),
        };
        (sync::Arc::new(entry), receiver)
    }

    /// Sends an input to the driver; does nothing if the driver has ended.
    pub(super) fn signal(&self, input: coordinate::Input) {
        let _ = self.signals.send(input);
    }

    pub(super) fn push(&self, chunk: request::Chunk) {
        self.lock().push(chunk);
        self.notify();
    }

    /// Registers a caller that joins; returns whether the answer can be given to it.
    pub(super) fn join(&self, is_maybe_retry: bool) -> bool {
        self.lock().join(is_maybe_retry)
    }

    /// Returns whether a caller has joined that may have sent the request to other daemons too.
    pub(super) fn is_maybe_retry(&self) -> bool {
        self.lock().is_maybe_retry()
    }

    /// Ends the answer with a refusal; `was_maybe_retry` is `is_maybe_retry` as of the decision to refuse.
    pub(super) fn refuse(&self, refusal: request::Refusal, was_maybe_retry: bool) {
        self.lock().refuse(refusal, was_maybe_retry);
        self.notify();
    }

    pub(super) fn finish(&self, end: buffer::End) {
        self.lock().finish(end);
        self.notify();
    }

    pub(super) fn end(&self) -> Option<buffer::End> {
        self.lock().end().cloned()
    }

    pub(super) fn len(&self) -> usize {
        self.lock().len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.lock().bytes()
    }

    /// Reads from `offset` on, in tokens; waits until there is something to read.
    pub(super) async fn next(&self, offset: u64) -> buffer::ReadResult {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            let result = self.lock().read(self.key.id, offset);
            if !matches!(result, buffer::ReadResult::Pending) {
                return result;
            }
            if changes.changed().await.is_err() {
                return buffer::ReadResult::Abandoned;
            }
        }
    }

    pub(super) fn add_reader(&self) {
        self.readers.fetch_add(1, atomic::Ordering::AcqRel);
    }

    pub(super) fn has_readers(&self) -> bool {
        self.readers.load(atomic::Ordering::Acquire) > 0
    }

    /// Unregisters a reader; signals the driver if it was the last one.
    pub(super) fn remove_reader(&self) {
        if self.readers.fetch_sub(1, atomic::Ordering::AcqRel) == 1 {
            self.signal(coordinate::Input::CallerGone);
        }
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> sync::MutexGuard<'_, buffer::AnswerBuffer> {
        self.buffer.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
