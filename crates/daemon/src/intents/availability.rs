//! Whether records can be written, as known to this daemon.

use std::{sync, time};

use trefoildyke_decide::coordinate;
use trefoildyke_wire::platform;

use crate::intents::driver;

/// Tracks whether records can be written; clones share the state.
#[derive(Clone, Debug)]
pub(super) struct Availability {
    kv: platform::KvClient,
    started: time::Instant,
    /// When a peer last wrote or looked up a record for this daemon.
    last_peer_success: sync::Arc<sync::Mutex<Option<time::Instant>>>,
}

impl Availability {
    pub(super) fn new(kv: platform::KvClient) -> Self {
        let last_peer_success = sync::Arc::default();
        Self { kv, started: time::Instant::now(), last_peer_success }
    }

    /// Records that a peer has just written or looked up a record for this daemon.
    pub(super) fn record_peer_success(&self) {
        *self.lock() = Some(time::Instant::now());
    }

    /// Returns whether records can be written, by this daemon or through a peer.
    ///
    /// Until its first answer or failed call, the key-value service counts as down since this daemon
    /// started. If a peer has written or looked up a record for this daemon since the service went down,
    /// the service counts as up.
    pub(super) fn state(&self) -> coordinate::ServiceState {
        let health = self.kv.health();
        let since = match (health.answered, health.failing) {
            (_, Some(failing)) => failing,
            (None, None) => self.started,
            (Some(_), None) => return coordinate::ServiceState::Up,
        };
        if self.lock().is_some_and(|success| success > since) {
            return coordinate::ServiceState::Up;
        }
        let elapsed_ms = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
        coordinate::ServiceState::Down { since_ms: driver::unix_ms().saturating_sub(elapsed_ms) }
    }

    /// Returns whether the key-value service does not answer this daemon itself.
    pub(super) fn is_disconnected(&self) -> bool {
        let health = self.kv.health();
        health.failing.is_some() || health.answered.is_none()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<time::Instant>> {
        self.last_peer_success.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
