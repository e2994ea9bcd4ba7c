//! The interface of the configuration service for the other services.

use std::sync;

use tokio::sync::{mpsc, oneshot, watch};
use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::error;
use trefoildyke_wire::peer;

use crate::config::{Settings, keeper, store, writer};

/// A handle that reads and changes the configuration.
#[derive(Clone)]
pub struct Handle {
    pub(crate) commands: mpsc::Sender<keeper::Command>,
    pub(crate) snapshots: watch::Receiver<sync::Arc<config::Snapshot>>,
    pub(crate) store: store::Store,
    pub(crate) settings: Settings,
}

impl Handle {
    /// Returns the current snapshot.
    pub fn snapshot(&self) -> sync::Arc<config::Snapshot> {
        sync::Arc::clone(&self.snapshots.borrow())
    }

    /// Returns a receiver of the current and later snapshots, whose versions only increase.
    ///
    /// The receiver may skip snapshots.
    pub fn subscribe(&self) -> watch::Receiver<sync::Arc<config::Snapshot>> {
        self.snapshots.clone()
    }

    /// Makes a change and returns the snapshot that contains it once the write is confirmed.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`config::apply`], with `Unavailable` if the key-value service does not
    /// answer and the change cannot take effect, and with `Unsure` if the change may have taken effect or
    /// may still do so.
    pub async fn write(
        &self,
        set: &config::ChangeSet,
    ) -> Result<sync::Arc<config::Snapshot>, error::Error> {
        writer::write(self, set).await
    }

    /// Returns the answer to a peer that requests changes.
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
        // Encoded as JSON, because MessagePack cannot represent an address in a flattened resource.
        let text = serde_json::to_string(&answer).map_err(|error| protocol_error(&error))?;
        let body = peer::Payload::encode(&text).map_err(|error| protocol_error(&error))?;
        Ok(peer::Changes { version, body })
    }

    /// Adopts changes; skips those that the current snapshot already contains.
    pub(crate) async fn extend(
        &self,
        changes: Vec<storage::Change>,
    ) -> Result<sync::Arc<config::Snapshot>, error::Error> {
        let (reply, outcome) = oneshot::channel();
        self.send(keeper::Command::Extend(changes, reply)).await?;
        outcome.await.map_err(|_| stopping())?
    }

    /// Adopts a complete snapshot if it is newer than the current one.
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

fn protocol_error(error: &dyn std::error::Error) -> error::Error {
    error::Error::new(error::ErrorKind::Protocol, error.to_string())
}
