//! The queues of the committers, which exist once the daemons agree on the layout.

use tokio::sync::mpsc;
use trefoildyke_decide::intents;

use crate::intents::job;

/// The layout and the queue of each bucket's committer.
#[derive(Debug)]
pub(super) struct CommitQueues {
    pub(super) layout: intents::Layout,
    /// One sender per bucket of the layout, in the order of the buckets.
    pub(super) senders: Vec<mpsc::Sender<job::Job>>,
}
