//! The tasks of the configuration service, which its owner runs.

use std::sync;

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::config;
use trefoildyke_wire::platform;

use crate::config::{Handle, Peers, Settings, keeper, learner, store, watcher};

/// The task that owns the current configuration; to be run on the control thread.
#[must_use = "a handle does nothing until the keeper runs"]
pub struct Keeper {
    commands: mpsc::Receiver<keeper::Command>,
    snapshots: watch::Sender<sync::Arc<config::Snapshot>>,
}

/// Creates the handle for the other services and the keeper to run.
pub fn new(settings: Settings, kv: platform::KvClient) -> (Handle, Keeper) {
    let (commands, receiver) = mpsc::channel(keeper::QUEUE_CAPACITY);
    let (sender, snapshots) = watch::channel(sync::Arc::default());
    let handle = Handle { commands, snapshots, store: store::Store::new(kv), settings };
    (handle, Keeper { commands: receiver, snapshots: sender })
}

impl Keeper {
    /// Runs until every handle is dropped; can be cancelled by dropping the future.
    pub async fn run(self) {
        keeper::run(self.commands, self.snapshots).await;
    }
}

impl Handle {
    /// Adopts new versions from the key-value service and the peers; to be run on the control thread.
    ///
    /// Runs until the future is dropped.
    pub async fn follow(self, peers: Peers) {
        let watcher = watcher::run(self.clone(), peers.clone());
        let learner = learner::run(self, peers);
        tokio::join!(watcher, learner);
    }
}
