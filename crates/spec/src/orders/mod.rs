//! Orders to one engine by two daemons that both take themselves for the one to send them.
//!
//! Time goes in steps. A daemon that takes no step is paused; the lease may end meanwhile. Calls to
//! the service and orders to the engine take as long as they like, but an order takes effect
//! within the settle time or never, and between a daemon's last look at the clock and the write
//! there is at most a stated pause. The controllers are the daemon's own.

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

/// Returns the shortest steps to a state that satisfies `goal`.
pub fn reach(bounds: &Bounds, goal: impl Fn(&World) -> bool) -> Option<Vec<String>> {
    explore::reach(&World::new(bounds), |world| next(bounds, world), goal)
}
