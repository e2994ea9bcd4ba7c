//! The parts of the configuration service that its owner runs.

use std::sync;

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::config;
use trefoildyke_wire::platform;

use crate::config::{Handle, Peers, Settings, keeper, learner, store, watcher};

/// Owns the version in force; run it on the control thread.
#[must_use = "a handle does nothing until the keeper runs"]
pub struct Keeper {
    commands: mpsc::Receiver<keeper::Command>,
    snapshots: watch::Sender<sync::Arc<config::Snapshot>>,
}

/// Creates the service: the handle for the others and the keeper to run.
pub fn new(settings: Settings, kv: platform::KvClient) -> (Handle, Keeper) {
    let (commands, received) = mpsc::channel(keeper::COMMANDS);
    let (sender, snapshots) = watch::channel(sync::Arc::default());
    let handle = Handle { commands, snapshots, store: store::Store::new(kv), settings };
    (handle, Keeper { commands: received, snapshots: sender })
}

impl Keeper {
    /// Runs until every handle is gone; cancel it by dropping the future.
    pub async fn run(self) {
        keeper::run(self.commands, self.snapshots).await;
    }
}

impl Handle {
    /// Follows the key-value service and the peers; run it on the control thread.
    ///
    /// Never ends; cancel it by dropping the future.
    pub async fn follow(self, peers: Peers) {
        let watcher = watcher::run(self.clone(), peers.clone());
        let learner = learner::run(self, peers);
        tokio::join!(watcher, learner);
    }
}
