//! What the other services use.

use std::sync;

use tokio::sync::{mpsc, oneshot, watch};
use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::error;
use trefoildyke_wire::peer;

use crate::config::{Settings, keeper, store, writer};

/// Reads and changes the configuration; published as `config`.
#[derive(Clone)]
pub struct Handle {
    pub(crate) commands: mpsc::Sender<keeper::Command>,
    pub(crate) snapshots: watch::Receiver<sync::Arc<config::Snapshot>>,
    pub(crate) store: store::Store,
    pub(crate) settings: Settings,
}

impl Handle {
    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> sync::Arc<config::Snapshot> {
        sync::Arc::clone(&self.snapshots.borrow())
    }

    /// Returns a receiver of every later snapshot; versions it shows only rise.
    pub fn subscribe(&self) -> watch::Receiver<sync::Arc<config::Snapshot>> {
        self.snapshots.clone()
    }

    /// Makes a change and returns the snapshot that contains it, once the write is confirmed.
    ///
    /// # Errors
    ///
    /// Fails as [`config::apply`] does, with `Unavailable` if the key-value service does not
    /// answer and nothing was written, and with `Unsure` if the change may have been or may still
    /// be written.
    pub async fn write(
        &self,
        set: &config::ChangeSet,
    ) -> Result<sync::Arc<config::Snapshot>, error::Error> {
        writer::write(self, set).await
    }

    /// Answers a peer that asks for changes.
    ///
    /// # Errors
    ///
    /// Fails with `Unavailable` if the daemon is stopping.
    pub async fn answer(
        &self,
        request: peer::ChangesRequest,
    ) -> Result<peer::Changes, error::Error> {
        let (reply, answer) = oneshot::channel();
        self.send(keeper::Command::Answer(request.from, request.after, reply)).await?;
        let (version, answer) = answer.await.map_err(|_| stopping())?;
        // As JSON, since MessagePack cannot hold an address within a flattened resource.
        let text = serde_json::to_string(&answer).map_err(|error| broken(&error))?;
        let body = peer::Payload::encode(&text).map_err(|error| broken(&error))?;
        Ok(peer::Changes { version, body })
    }

    /// Adopts changes; those in force already are skipped.
    pub(crate) async fn extend(
        &self,
        changes: Vec<storage::Change>,
    ) -> Result<sync::Arc<config::Snapshot>, error::Error> {
        let (reply, outcome) = oneshot::channel();
        self.send(keeper::Command::Extend(changes, reply)).await?;
        outcome.await.map_err(|_| stopping())?
    }

    /// Adopts a whole snapshot, unless a newer one is in force.
    pub(crate) async fn replace(
        &self,
        snapshot: sync::Arc<config::Snapshot>,
    ) -> Result<sync::Arc<config::Snapshot>, error::Error> {
        let (reply, outcome) = oneshot::channel();
        self.send(keeper::Command::Replace(snapshot, reply)).await?;
        outcome.await.map_err(|_| stopping())?
    }

    async fn send(&self, command: keeper::Command) -> Result<(), error::Error> {
        self.commands.send(command).await.map_err(|_| stopping())
    }
}

fn stopping() -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, "the daemon is stopping")
        .remedy("ask another daemon")
}

fn broken(error: &dyn std::error::Error) -> error::Error {
    error::Error::new(error::ErrorKind::Protocol, error.to_string())
}
