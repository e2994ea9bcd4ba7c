//! Records written in batches by two daemons that both take a bucket for their own.
//!
//! Each daemon commits a record for the same request, and one of them another as well. Reads and
//! writes are delayed, refused or lost with their effect; the daemons' clocks differ; slots are
//! deleted after the retention. Commits and the retention are the daemon's own functions. The
//! model of requests takes for granted what is shown here: a record is created at most once.

mod bounds;
mod next;
mod owner;
mod steps;
mod world;

pub use bounds::Bounds;
pub use next::next;
pub use owner::{Owner, Phase};
pub use steps::Step;
pub use world::{Late, World};

use crate::explore;

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    explore::explore(&World::new(bounds), |world| next(bounds, world), World::check)
}

/// Returns the shortest steps to a state that satisfies `goal`.
pub fn reach(bounds: &Bounds, goal: impl Fn(&World) -> bool) -> Option<Vec<String>> {
    explore::reach(&World::new(bounds), |world| next(bounds, world), goal)
}
