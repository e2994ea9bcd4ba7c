//! Model of orders: two daemons that both believe they hold the lease send orders to one engine.
//!
//! Time is counted in steps. A daemon that takes no step is paused, and its lease may expire meanwhile.
//! Calls to the service and orders to the engine may be delayed for any time, but an order takes effect
//! within the settle time or never, and the pause between a daemon's last check of the clock and its
//! write is bounded. The controllers are the daemon's own code.

mod bounds;
mod daemon;
mod next;
mod steps;
mod world;

pub use bounds::Bounds;
pub use daemon::{Call, Daemon, Sending};
pub use next::next;
pub use steps::Step;
pub use world::{Lease, World};

use crate::explore;

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    explore::explore(&World::new(bounds), |world| next(bounds, world), World::check)
}

/// Returns the shortest sequence of steps to a state that satisfies `goal`.
pub fn reach(bounds: &Bounds, goal: impl Fn(&World) -> bool) -> Option<Vec<String>> {
    explore::reach(&World::new(bounds), |world| next(bounds, world), goal)
}
