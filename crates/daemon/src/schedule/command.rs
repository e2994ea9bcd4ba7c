//! Commands to the actor of a shard.

use tokio::sync::{mpsc, oneshot};
use trefoildyke_types::{id, request};

use crate::schedule;

pub(super) type Reply = oneshot::Sender<Result<request::Permit, request::Refusal>>;

/// A command to the actor of a shard.
///
/// The channel is unbounded: each entry belongs to a request in progress, and the coordinators bound
/// the number of those.
pub(super) enum Command {
    Ask(request::Ask, Reply),
    /// An asker no longer waits for the answer to its ask.
    AskerGone(id::RequestKey),
    Entries(Vec<schedule::Entry>),
}

/// A guard that tells the actor if the asker stops waiting before it is answered.
pub(super) struct AskGuard {
    commands: mpsc::UnboundedSender<Command>,
    key: id::RequestKey,
    armed: bool,
}

impl AskGuard {
    pub(super) const fn new(commands: mpsc::UnboundedSender<Command>, key: id::RequestKey) -> Self {
        Self { commands, key, armed: true }
    }

    pub(super) fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for AskGuard {
    fn drop(&mut self) {
        if self.armed {
            // Sending fails only if the actor has ended; then no asker waits there.
            let _ = self.commands.send(Command::AskerGone(self.key.clone()));
        }
    }
}
