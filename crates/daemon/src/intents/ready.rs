//! What exists once the layout is agreed.

use tokio::sync::mpsc;
use trefoildyke_decide::intents;

use crate::intents::waiting;

/// Holds the layout and the queue of each bucket's committer.
#[derive(Debug)]
pub(super) struct Ready {
    pub(super) layout: intents::Layout,
    /// As many as the layout has buckets.
    pub(super) queues: Vec<mpsc::Sender<waiting::Job>>,
}
