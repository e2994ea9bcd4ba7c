//! What a shard's actor is told to do.

use tokio::sync::{mpsc, oneshot};
use trefoildyke_types::{id, request};

use crate::schedule;

pub(super) type Reply = oneshot::Sender<Result<request::Permit, request::Refusal>>;

/// Tells the actor of a shard to do something.
///
/// The channel has no bound of its own: each entry belongs to a request in progress, and their
/// number is bounded at the coordinators.
pub(super) enum Command {
    Ask(request::Ask, Reply),
    /// Nobody waits for an answer to this ask any more.
    Dropped(id::RequestKey),
    Entries(Vec<schedule::Entry>),
}

/// Tells the actor when an asker stops waiting.
pub(super) struct Asker {
    commands: mpsc::UnboundedSender<Command>,
    key: id::RequestKey,
    waiting: bool,
}

impl Asker {
    pub(super) const fn new(commands: mpsc::UnboundedSender<Command>, key: id::RequestKey) -> Self {
        Self { commands, key, waiting: true }
    }

    pub(super) fn answered(mut self) {
        self.waiting = false;
    }
}

impl Drop for Asker {
    fn drop(&mut self) {
        if self.waiting {
            // An actor that has ended has nobody waiting.
            let _ = self.commands.send(Command::Dropped(self.key.clone()));
        }
    }
}
