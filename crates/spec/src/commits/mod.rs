//! Model of commits: two daemons that both believe they own a bucket write records in batches.
//!
//! Each daemon commits a record for the same request, and one of them also commits a second record.
//! Reads and writes may be delayed or refused, and their answers may be lost. The daemons' clocks
//! differ, and slots are deleted after the retention. Commits and the retention are the daemon's own
//! functions. The model of requests assumes what this model checks: a record is created at most once.

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

/// Returns the shortest sequence of steps to a state that satisfies `goal`.
pub fn reach(bounds: &Bounds, goal: impl Fn(&World) -> bool) -> Option<Vec<String>> {
    explore::reach(&World::new(bounds), |world| next(bounds, world), goal)
}
