//! Matches replies of other daemons to the requests sent to them.

use std::{collections, sync, time};

use tokio::sync::oneshot;
use trefoildyke_types::time::Timestamp;

/// How long a request is remembered after its sender may have stopped waiting for the reply.
const RETENTION: time::Duration = time::Duration::from_secs(2);

/// The number of pending requests from which on old ones are removed.
const PRUNE_THRESHOLD: usize = 64;

/// The pending requests of type `Q`, waiting for replies of type `R`.
#[derive(Debug)]
pub(crate) struct PendingReplies<Q, R> {
    pending: sync::Mutex<collections::HashMap<u64, Pending<Q, R>>>,
}

#[derive(Debug)]
struct Pending<Q, R> {
    sent_at: Timestamp,
    request: Q,
    sender: oneshot::Sender<R>,
}

impl<Q, R> Default for PendingReplies<Q, R> {
    fn default() -> Self {
        Self { pending: sync::Mutex::default() }
    }
}

impl<Q, R> PendingReplies<Q, R> {
    /// Registers a request under its number and returns the channel for its reply.
    pub(crate) fn register(&self, now: Timestamp, number: u64, request: Q) -> oneshot::Receiver<R> {
        let (sender, receiver) = oneshot::channel();
        let mut pending = self.lock();
        if pending.len() >= PRUNE_THRESHOLD {
            pending.retain(|_, request| now.since(request.sent_at) < RETENTION);
        }
        pending.insert(number, Pending { sent_at: now, request, sender });
        receiver
    }

    /// Passes on a reply. Returns it with its request if the sender of the request has stopped waiting.
    pub(crate) fn complete(&self, number: u64, reply: R) -> Option<(Q, R)> {
        let pending = self.lock().remove(&number)?;
        let reply = pending.sender.send(reply).err()?;
        Some((pending.request, reply))
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<u64, Pending<Q, R>>> {
        self.pending.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
