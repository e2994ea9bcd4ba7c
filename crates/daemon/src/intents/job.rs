//! Jobs that wait for the next commit of a bucket.

use std::time;

use tokio::sync::oneshot;
use trefoildyke_decide::intents;
use trefoildyke_types::{id, request};

/// A record that waits to be written.
#[derive(Debug)]
pub(super) struct PendingRecord {
    pub(super) row: intents::Row,
    /// When the record arrived.
    pub(super) arrived: time::Instant,
    /// Receives the outcome; dropping the sender means that the outcome is unsure.
    pub(super) reply: oneshot::Sender<intents::Outcome>,
}

impl PendingRecord {
    pub(super) fn new(row: intents::Row) -> (Self, oneshot::Receiver<intents::Outcome>) {
        let (reply, outcome) = oneshot::channel();
        (Self { row, arrived: time::Instant::now(), reply }, outcome)
    }

    pub(super) fn answer(self, outcome: intents::Outcome) {
        // Whoever asked may have given up.
        let _ = self.reply.send(outcome);
    }
}

/// A request whose record is looked up.
#[derive(Debug)]
pub(super) struct PendingLookUp {
    pub(super) key: id::RequestKey,
    /// When the request arrived.
    pub(super) arrived: time::Instant,
    /// Receives the record, if one exists; dropping the sender means that it could not be read.
    pub(super) reply: oneshot::Sender<Option<request::Record>>,
}

impl PendingLookUp {
    pub(super) fn new(key: id::RequestKey) -> (Self, oneshot::Receiver<Option<request::Record>>) {
        let (reply, found) = oneshot::channel();
        (Self { key, arrived: time::Instant::now(), reply }, found)
    }

    pub(super) fn answer(self, found: Option<request::Record>) {
        // Whoever asked may have given up.
        let _ = self.reply.send(found);
    }
}

/// A job that waits for the next commit of a bucket.
#[derive(Debug)]
pub(super) enum Job {
    /// A record to write.
    Record(PendingRecord),
    /// A record to look up.
    LookUp(PendingLookUp),
}

impl Job {
    pub(super) const fn key(&self) -> &id::RequestKey {
        match self {
            Self::Record(pending) => &pending.row.key,
            Self::LookUp(pending) => &pending.key,
        }
    }

    pub(super) const fn arrived(&self) -> time::Instant {
        match self {
            Self::Record(pending) => pending.arrived,
            Self::LookUp(pending) => pending.arrived,
        }
    }
}
