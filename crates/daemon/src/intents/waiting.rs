//! What waits for a bucket's next commit.

use std::time;

use tokio::sync::oneshot;
use trefoildyke_decide::intents;
use trefoildyke_types::{id, request};

/// Holds a record that waits to be written.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) row: intents::Row,
    /// When the record came.
    pub(super) arrived: time::Instant,
    /// Gets the outcome. A sender that is dropped means that the outcome is unsure.
    pub(super) answer: oneshot::Sender<intents::Outcome>,
}

impl Waiting {
    pub(super) fn new(row: intents::Row) -> (Self, oneshot::Receiver<intents::Outcome>) {
        let (answer, outcome) = oneshot::channel();
        (Self { row, arrived: time::Instant::now(), answer }, outcome)
    }

    pub(super) fn answer(self, outcome: intents::Outcome) {
        // Whoever asked may have given up.
        let _ = self.answer.send(outcome);
    }
}

/// Holds a request whose record is looked up.
#[derive(Debug)]
pub(super) struct Looking {
    pub(super) key: id::RequestKey,
    /// When the request came.
    pub(super) arrived: time::Instant,
    /// Gets the record, if one stands. A sender that is dropped means that it could not be read.
    pub(super) answer: oneshot::Sender<Option<request::Record>>,
}

impl Looking {
    pub(super) fn new(key: id::RequestKey) -> (Self, oneshot::Receiver<Option<request::Record>>) {
        let (answer, found) = oneshot::channel();
        (Self { key, arrived: time::Instant::now(), answer }, found)
    }

    pub(super) fn answer(self, found: Option<request::Record>) {
        // Whoever asked may have given up.
        let _ = self.answer.send(found);
    }
}

/// Holds what waits for a bucket's next commit.
#[derive(Debug)]
pub(super) enum Job {
    /// A record to write.
    Record(Waiting),
    /// A record to look up.
    LookUp(Looking),
}

impl Job {
    pub(super) const fn key(&self) -> &id::RequestKey {
        match self {
            Self::Record(waiting) => &waiting.row.key,
            Self::LookUp(looking) => &looking.key,
        }
    }

    pub(super) const fn arrived(&self) -> time::Instant {
        match self {
            Self::Record(waiting) => waiting.arrived,
            Self::LookUp(looking) => looking.arrived,
        }
    }
}
