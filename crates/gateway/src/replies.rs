//! Questions to other daemons that wait for their replies.

use std::{collections, sync, time};

use tokio::sync::oneshot;
use trefoildyke_types::time::Timestamp;

/// For how long a question is remembered whose reply nobody waits for any more.
const KEPT: time::Duration = time::Duration::from_secs(2);

/// From how many questions on those are looked for that need not be remembered.
const MANY: usize = 64;

/// Holds the questions `Q` whose replies `R` have not come.
#[derive(Debug)]
pub(crate) struct Replies<Q, R> {
    waiting: sync::Mutex<collections::HashMap<u64, Waiting<Q, R>>>,
}

#[derive(Debug)]
struct Waiting<Q, R> {
    asked: Timestamp,
    question: Q,
    sender: oneshot::Sender<R>,
}

impl<Q, R> Default for Replies<Q, R> {
    fn default() -> Self {
        Self { waiting: sync::Mutex::default() }
    }
}

impl<Q, R> Replies<Q, R> {
    /// Expects a reply to the question with a number.
    pub(crate) fn expect(&self, now: Timestamp, number: u64, question: Q) -> oneshot::Receiver<R> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.lock();
        if waiting.len() >= MANY {
            waiting.retain(|_, question| now.since(question.asked) < KEPT);
        }
        waiting.insert(number, Waiting { asked: now, question, sender });
        receiver
    }

    /// Takes in a reply; returns it with its question if nobody waits for it any more.
    pub(crate) fn replied(&self, number: u64, reply: R) -> Option<(Q, R)> {
        let waiting = self.lock().remove(&number)?;
        let reply = waiting.sender.send(reply).err()?;
        Some((waiting.question, reply))
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<u64, Waiting<Q, R>>> {
        self.waiting.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
