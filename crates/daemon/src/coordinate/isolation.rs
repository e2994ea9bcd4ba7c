//! Whether this daemon reaches anyone who could tell it what is in force.

use std::{sync, time};

use tokio::sync::watch;
use trefoildyke_decide::members;
use trefoildyke_types::id;
use trefoildyke_wire::platform;

/// Read to see whether the service answers; it need not exist.
const PROBE_KEY: &str = "probe";

/// Says whether this daemon is cut off. Clones share the state.
#[derive(Clone, Debug)]
pub struct Isolation(sync::Arc<watch::Sender<bool>>);

impl Isolation {
    /// Returns whether neither the key-value service nor any peer was reached for the bound.
    pub fn is_isolated(&self) -> bool {
        *self.0.borrow()
    }

    /// Returns what is told of each later change.
    pub(super) fn changes(&self) -> watch::Receiver<bool> {
        self.0.subscribe()
    }

    /// Takes in whether this daemon is cut off; says whether that is new.
    fn set(&self, is_isolated: bool) -> bool {
        self.0.send_if_modified(|current| std::mem::replace(current, is_isolated) != is_isolated)
    }
}

impl Default for Isolation {
    fn default() -> Self {
        Self(sync::Arc::new(watch::Sender::new(false)))
    }
}

/// Watches whether this daemon is cut off; run it on the control thread.
pub struct Watch {
    /// The state that is kept up to date.
    pub isolation: Isolation,
    /// This daemon.
    pub own: id::Incarnation,
    /// The members as this daemon sees them.
    pub view: watch::Receiver<sync::Arc<members::View>>,
    /// The key-value service.
    pub kv: platform::KvClient,
    /// For how long nobody may be reached.
    pub bound: time::Duration,
}

impl Watch {
    /// Runs for good; cancel it by dropping the future.
    ///
    /// The service is asked only while there is no peer, so a large group does not load it.
    pub async fn run(self) {
        let mut reached = tokio::time::Instant::now();
        let period = self.bound / 4;
        loop {
            let asked = tokio::time::Instant::now();
            let is_reached = self.has_peer()
                || tokio::time::timeout(period, self.kv.get(PROBE_KEY))
                    .await
                    .is_ok_and(|answer| answer.is_ok());
            if is_reached {
                reached = asked;
            }
            let is_isolated = reached.elapsed() >= self.bound;
            if self.isolation.set(is_isolated) {
                log::warn!(target: "coordinate", "cut off from everyone: {is_isolated}");
            }
            tokio::time::sleep(period).await;
        }
    }

    fn has_peer(&self) -> bool {
        self.view.borrow().alive().any(|member| member.incarnation != self.own)
    }
}
