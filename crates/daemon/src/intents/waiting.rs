//! A record that waits to be written.

use std::time;

use tokio::sync::oneshot;
use trefoildyke_decide::intents;

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
