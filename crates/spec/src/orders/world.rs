//! The state of the model of orders.

use crate::{
    invariant::Invariant,
    orders::{Bounds, Daemon},
};

/// Holds the lease as the service has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The holder.
    pub daemon: usize,
    /// The fencing token.
    pub token: u64,
    /// When it ends.
    pub end: u64,
}

/// Holds the state of everything.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// The time.
    pub now: u64,
    /// The lease.
    pub lease: Option<Lease>,
    /// The last fencing token.
    pub token: u64,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Orders under way: when each was written, and its token.
    pub orders: Vec<(u64, u64)>,
    /// The tokens of the last two orders that took effect, in order.
    pub effects: Vec<u64>,
}

impl World {
    /// Creates the state in which nothing has happened.
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

    /// Returns the invariant that the state breaks, if it breaks one.
    pub fn check(&self) -> Option<Invariant> {
        let back = self.effects.windows(2).any(|pair| pair[1] < pair[0]);
        back.then_some(Invariant::FencedOrders)
    }
}
