//! The number of transfers that a daemon runs at once, and the daemons to which it refers others.

use std::{collections, net, sync};

/// The maximum number of concurrent transfers. They share the host's link: with more of them, the first
/// daemons could serve others only later.
const MAX_TRANSFERS: usize = 4;

/// The number of daemons to which a daemon that is turned away is referred.
const MAX_HOLDERS: usize = 4;

/// The slots for transfers.
#[derive(Clone, Debug, Default)]
pub(super) struct Slots {
    state: sync::Arc<sync::Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    active: usize,
    /// The version of the last transfers.
    version: u64,
    /// The daemons to which this version was transferred last.
    holders: collections::VecDeque<net::SocketAddr>,
}

/// A transfer in progress; it ends when this is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    slots: Slots,
    version: u64,
    member: net::SocketAddr,
    complete: bool,
}

impl Slots {
    /// Begins a transfer of a version to a daemon.
    ///
    /// # Errors
    ///
    /// If there are too many transfers, fails with daemons that have the version by now.
    pub(super) fn begin(
        &self,
        version: u64,
        member: net::SocketAddr,
    ) -> Result<Slot, Vec<net::SocketAddr>> {
        let mut state = self.lock();
        if state.version != version {
            state.version = version;
            state.holders.clear();
        }
        if state.active >= MAX_TRANSFERS {
            return Err(state.holders.iter().copied().collect());
        }
        state.active += 1;
        Ok(Slot { slots: self.clone(), version, member, complete: false })
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Slot {
    /// Records that the daemon has received everything and can serve others.
    pub(super) const fn set_complete(&mut self) {
        self.complete = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.slots.lock();
        state.active -= 1;
        if self.complete && state.version == self.version {
            state.holders.push_front(self.member);
            state.holders.truncate(MAX_HOLDERS);
        }
    }
}
