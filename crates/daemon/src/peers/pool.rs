//! The pool of open connections, keyed by incarnation.

use std::{collections, sync};

use tokio::time;
use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::peers;

/// The state of the connection to one peer.
#[derive(Default)]
pub(super) struct Slot {
    pub(super) open: Option<OpenConnection>,
    /// The time and cause of the last failed attempt to connect.
    pub(super) failure: Option<(time::Instant, String)>,
}

/// An open connection.
#[derive(Clone)]
pub(super) struct OpenConnection {
    pub(super) client: peer::PeerClient,
    pub(super) incarnation: id::Incarnation,
    /// Shared by the pool, the connection's task and every [`peers::Client`].
    pub(super) last_use: sync::Arc<LastUse>,
    /// Dangling once the connection's task has ended; the task holds the strong reference.
    pub(super) alive: sync::Weak<()>,
}

impl OpenConnection {
    pub(super) fn is_alive(&self) -> bool {
        self.alive.strong_count() > 0
    }

    pub(super) fn client(&self) -> peers::Client {
        self.last_use.touch();
        peers::Client {
            client: self.client.clone(),
            incarnation: self.incarnation,
            _last_use: sync::Arc::clone(&self.last_use),
        }
    }
}

/// The time at which a connection was last handed out.
pub(super) struct LastUse {
    at: sync::Mutex<time::Instant>,
}

impl LastUse {
    pub(super) fn new() -> Self {
        Self { at: sync::Mutex::new(time::Instant::now()) }
    }

    fn touch(&self) {
        *self.at.lock().unwrap_or_else(sync::PoisonError::into_inner) = time::Instant::now();
    }

    /// Returns how long ago the connection was last handed out.
    pub(super) fn idle(&self) -> std::time::Duration {
        self.at.lock().unwrap_or_else(sync::PoisonError::into_inner).elapsed()
    }
}

/// A slot whose lock is held while connecting, so that only one connection per peer is opened at a time.
pub(super) type SharedSlot = sync::Arc<tokio::sync::Mutex<Slot>>;

/// The slots of the peers that were called recently.
#[derive(Default)]
pub(super) struct Pool {
    slots: sync::Mutex<collections::HashMap<id::Incarnation, SharedSlot>>,
}

impl Pool {
    pub(super) fn slot(&self, incarnation: id::Incarnation) -> SharedSlot {
        sync::Arc::clone(self.lock().entry(incarnation).or_default())
    }

    /// Removes the slot of a peer that is not a member.
    pub(super) fn remove(&self, incarnation: id::Incarnation) {
        self.lock().remove(&incarnation);
    }

    /// Removes the slot of a connection that has ended, unless a newer connection has replaced it.
    pub(super) fn remove_ended(&self, incarnation: id::Incarnation, last_use: &sync::Arc<LastUse>) {
        let mut slots = self.lock();
        let ended = slots.get(&incarnation).is_some_and(|slot| {
            let slot = slot.try_lock();
            slot.is_ok_and(|slot| {
                slot.open.as_ref().is_some_and(|open| sync::Arc::ptr_eq(&open.last_use, last_use))
            })
        });
        if ended {
            slots.remove(&incarnation);
        }
    }

    /// Returns the number of slots.
    pub(super) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<id::Incarnation, SharedSlot>> {
        self.slots.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
