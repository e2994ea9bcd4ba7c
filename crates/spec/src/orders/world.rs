//! The state of the model of orders.

use crate::{
    invariant::Invariant,
    orders::{Bounds, Daemon},
};

/// The lease as the service stores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The daemon that holds the lease.
    pub daemon: usize,
    /// The fencing token.
    pub token: u64,
    /// When the lease ends.
    pub end: u64,
}

/// The complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// The current time.
    pub now: u64,
    /// The lease; `None` before the first daemon has acquired it.
    pub lease: Option<Lease>,
    /// The fencing token issued last.
    pub token: u64,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Orders in flight: when each was written, and its fencing token.
    pub orders: Vec<(u64, u64)>,
    /// The fencing tokens of the last two orders that took effect, oldest first.
    pub effects: Vec<u64>,
}

impl World {
    /// Creates the initial state.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            now: 0,
            lease: None,
            token: 0,
            daemons: vec![Daemon::new(bounds); 2],
            orders: vec![],
            effects: vec![],
        }
    }

    /// Returns the invariant that the state violates, if any.
    pub fn check(&self) -> Option<Invariant> {
        let back = self.effects.windows(2).any(|pair| pair[1] < pair[0]);
        back.then_some(Invariant::FencedOrders)
    }
}
