//! Whether records can be written, as far as this daemon can tell.

use std::{sync, time};

use trefoildyke_decide::coordinate;
use trefoildyke_wire::platform;

use crate::intents::driver;

/// Knows whether records can be written. Clones share the knowledge.
#[derive(Clone, Debug)]
pub(super) struct Outage {
    kv: platform::KvClient,
    started: time::Instant,
    /// When a peer last wrote or read for this daemon.
    through_peer: sync::Arc<sync::Mutex<Option<time::Instant>>>,
}

impl Outage {
    pub(super) fn new(kv: platform::KvClient) -> Self {
        let through_peer = sync::Arc::default();
        Self { kv, started: time::Instant::now(), through_peer }
    }

    /// Takes note that a peer wrote or read for this daemon.
    pub(super) fn reached_through_peer(&self) {
        *self.lock() = Some(time::Instant::now());
    }

    /// Returns whether records can be written.
    ///
    /// Before the first answer the service counts as down since this daemon started.
    pub(super) fn state(&self) -> coordinate::ServiceState {
        let health = self.kv.health();
        let since = match (health.answered, health.failing) {
            (_, Some(failing)) => failing,
            (None, None) => self.started,
            (Some(_), None) => return coordinate::ServiceState::Up,
        };
        if self.lock().is_some_and(|reached| reached > since) {
            return coordinate::ServiceState::Up;
        }
        let ago = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
        coordinate::ServiceState::Down { since_ms: driver::unix_ms().saturating_sub(ago) }
    }

    /// Returns whether this daemon itself has no answer from the service.
    pub(super) fn is_cut_off(&self) -> bool {
        let health = self.kv.health();
        health.failing.is_some() || health.answered.is_none()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<time::Instant>> {
        self.through_peer.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
