//! The one owner of the version in force.

use std::sync;

use tokio::sync::{mpsc, oneshot, watch};
use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::{error, resource};

/// How many commands may wait for the keeper.
pub(crate) const COMMANDS: usize = 64;

type Outcome = Result<sync::Arc<config::Snapshot>, error::Error>;

/// Asks the keeper for something; the answer goes to the sender inside.
pub(crate) enum Command {
    /// Adopt changes.
    Extend(Vec<storage::Change>, oneshot::Sender<Outcome>),
    /// Adopt a whole snapshot.
    Replace(sync::Arc<config::Snapshot>, oneshot::Sender<Outcome>),
    /// Answer a peer.
    Answer(u64, Option<resource::ResourceKey>, oneshot::Sender<(u64, storage::Answer)>),
}

/// Runs until every handle is gone.
///
/// Only this function changes the version in force, and [`storage::History`] lets it only rise.
pub(crate) async fn run(
    mut commands: mpsc::Receiver<Command>,
    snapshots: watch::Sender<sync::Arc<config::Snapshot>>,
) {
    let mut history = storage::History::default();
    while let Some(command) = commands.recv().await {
        serve(&mut history, command);
        let rose = history.snapshot().version() > snapshots.borrow().version();
        if rose {
            log::info!(target: "config", "version {} is in force", history.snapshot().version());
            snapshots.send_replace(sync::Arc::clone(history.snapshot()));
        }
    }
}

/// Serves one command; an asker that has gone needs no answer.
fn serve(history: &mut storage::History, command: Command) {
    match command {
        Command::Extend(changes, reply) => {
            let outcome = history.extend(changes).map(|_| sync::Arc::clone(history.snapshot()));
            let _ = reply.send(outcome);
        }
        Command::Replace(snapshot, reply) => {
            history.replace(snapshot);
            let _ = reply.send(Ok(sync::Arc::clone(history.snapshot())));
        }
        Command::Answer(from, after, reply) => {
            let answer = history.answer(from, after.as_ref());
            let _ = reply.send((history.snapshot().version(), answer));
        }
    }
}
