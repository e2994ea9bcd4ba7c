//! Detection of isolation: a daemon that reaches neither a peer nor the key-value service cannot learn which
//! configuration is in force.

use std::{sync, time};

use tokio::sync::watch;
use trefoildyke_decide::members;
use trefoildyke_types::id;
use trefoildyke_wire::platform;

/// The key read to check whether the key-value service answers; it need not exist.
const PROBE_KEY: &str = "probe";

/// Whether this daemon is isolated. Clones share the state.
#[derive(Clone, Debug)]
pub struct Isolation(sync::Arc<watch::Sender<bool>>);

impl Isolation {
    /// Returns whether, for [`IsolationMonitor::timeout`], no peer was alive and the key-value service
    /// did not answer.
    pub fn is_isolated(&self) -> bool {
        *self.0.borrow()
    }

    /// Returns a receiver that is notified of each later change.
    pub(super) fn changes(&self) -> watch::Receiver<bool> {
        self.0.subscribe()
    }

    /// Sets whether this daemon is isolated; returns whether the state changed.
    fn set(&self, is_isolated: bool) -> bool {
        self.0.send_if_modified(|current| std::mem::replace(current, is_isolated) != is_isolated)
    }
}

impl Default for Isolation {
    fn default() -> Self {
        Self(sync::Arc::new(watch::Sender::new(false)))
    }
}

/// Detects whether this daemon is isolated. It must run on the control thread.
pub struct IsolationMonitor {
    /// The state to update.
    pub isolation: Isolation,
    /// The incarnation of this daemon.
    pub own: id::Incarnation,
    /// This daemon's view of the members.
    pub view: watch::Receiver<sync::Arc<members::View>>,
    /// The client of the key-value service.
    pub kv: platform::KvClient,
    /// After how long without a peer and without an answer of the key-value service this daemon is isolated.
    pub timeout: time::Duration,
}

impl IsolationMonitor {
    /// Checks periodically whether this daemon is isolated. Never returns; drop the future to cancel it.
    ///
    /// The key-value service is probed only while no peer is alive, so that a large cluster puts no load
    /// on it.
    pub async fn run(self) {
        let mut last_reached = tokio::time::Instant::now();
        let period = self.timeout / 4;
        loop {
            let checked_at = tokio::time::Instant::now();
            let is_reached = self.has_peer()
                || tokio::time::timeout(period, self.kv.get(PROBE_KEY))
                    .await
                    .is_ok_and(|answer| answer.is_ok());
            if is_reached {
                last_reached = checked_at;
            }
            let is_isolated = last_reached.elapsed() >= self.timeout;
            if self.isolation.set(is_isolated) {
                log::warn!(target: "coordinate", "daemon is isolated: {is_isolated}");
            }
            tokio::time::sleep(period).await;
        }
    }

    fn has_peer(&self) -> bool {
        self.view.borrow().alive().any(|member| member.incarnation != self.own)
    }
}
