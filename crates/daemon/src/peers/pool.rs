//! The open connections by incarnation.

use std::{collections, sync};

use tokio::time;
use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::peers;

/// Holds what is known of the connection to one peer.
#[derive(Default)]
pub(super) struct Slot {
    pub(super) open: Option<Open>,
    /// When and why the last try to connect failed.
    pub(super) failure: Option<(time::Instant, String)>,
}

/// An open connection.
#[derive(Clone)]
pub(super) struct Open {
    pub(super) client: peer::PeerClient,
    pub(super) incarnation: id::Incarnation,
    /// Held by the pool, by the connection's task and by every [`peers::Client`].
    pub(super) used: sync::Arc<Used>,
    /// Dropped by the connection's task when the connection has ended.
    pub(super) alive: sync::Weak<()>,
}

impl Open {
    pub(super) fn is_alive(&self) -> bool {
        self.alive.strong_count() > 0
    }

    pub(super) fn client(&self) -> peers::Client {
        self.used.touch();
        peers::Client {
            client: self.client.clone(),
            incarnation: self.incarnation,
            _used: sync::Arc::clone(&self.used),
        }
    }
}

/// Tells when a connection was last handed out.
pub(super) struct Used {
    last: sync::Mutex<time::Instant>,
}

impl Used {
    pub(super) fn new() -> Self {
        Self { last: sync::Mutex::new(time::Instant::now()) }
    }

    fn touch(&self) {
        *self.last.lock().unwrap_or_else(sync::PoisonError::into_inner) = time::Instant::now();
    }

    /// Returns how long ago the connection was last handed out.
    pub(super) fn idle(&self) -> std::time::Duration {
        self.last.lock().unwrap_or_else(sync::PoisonError::into_inner).elapsed()
    }
}

/// A slot whose lock is held while connecting, so that one connection is opened at a time.
pub(super) type SharedSlot = sync::Arc<tokio::sync::Mutex<Slot>>;

/// Holds one slot for each peer that has been called of late.
#[derive(Default)]
pub(super) struct Pool {
    slots: sync::Mutex<collections::HashMap<id::Incarnation, SharedSlot>>,
}

impl Pool {
    pub(super) fn slot(&self, incarnation: id::Incarnation) -> SharedSlot {
        sync::Arc::clone(self.lock().entry(incarnation).or_default())
    }

    /// Forgets a peer that is no member.
    pub(super) fn remove(&self, incarnation: id::Incarnation) {
        self.lock().remove(&incarnation);
    }

    /// Forgets a connection that has ended, but not one that has taken its place.
    pub(super) fn remove_ended(&self, incarnation: id::Incarnation, used: &sync::Arc<Used>) {
        let mut slots = self.lock();
        let ended = slots.get(&incarnation).is_some_and(|slot| {
            let slot = slot.try_lock();
            slot.is_ok_and(|slot| {
                slot.open.as_ref().is_some_and(|open| sync::Arc::ptr_eq(&open.used, used))
            })
        });
        if ended {
            slots.remove(&incarnation);
        }
    }

    /// Returns for how many peers there is a slot.
    pub(super) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<id::Incarnation, SharedSlot>> {
        self.slots.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
