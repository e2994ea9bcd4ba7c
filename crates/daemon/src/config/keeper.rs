//! The only owner of the current configuration.

use std::sync;

use tokio::sync::{mpsc, oneshot, watch};
use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::{error, resource};

/// The maximum number of commands that wait for the keeper.
pub(crate) const QUEUE_CAPACITY: usize = 64;

type AdoptResult = Result<sync::Arc<config::Snapshot>, error::Error>;

/// A command to the keeper, with the sender for its result.
pub(crate) enum Command {
    /// Adopts changes.
    Extend(Vec<storage::Change>, oneshot::Sender<AdoptResult>),
    /// Adopts a complete snapshot.
    Replace(sync::Arc<config::Snapshot>, oneshot::Sender<AdoptResult>),
    /// Returns the current version and the answer to a peer that has the given version and has read
    /// pages up to the given key.
    Answer(u64, Option<resource::ResourceKey>, oneshot::Sender<(u64, storage::Answer)>),
}

/// Handles commands until every handle is dropped.
///
/// Only this function changes the current version, and [`storage::History`] only lets it increase.
pub(crate) async fn run(
    mut commands: mpsc::Receiver<Command>,
    snapshots: watch::Sender<sync::Arc<config::Snapshot>>,
) {
    let mut history = storage::History::default();
    while let Some(command) = commands.recv().await {
        handle_command(&mut history, command);
        let increased = history.snapshot().version() > snapshots.borrow().version();
        if increased {
            log::info!(target: "config", "version {} is in force", history.snapshot().version());
            snapshots.send_replace(sync::Arc::clone(history.snapshot()));
        }
    }
}

/// Handles one command; the result is discarded if the sender of the command no longer waits.
fn handle_command(history: &mut storage::History, command: Command) {
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
