//! Model of configuration versions: racing operators, lost answers, propagation, restarts and a restored
//! service.
//!
//! Every daemon accepts operators' changes to one resource, reads the root from the service and learns
//! snapshots from its peers; each of these may be delayed for any time and may fail. A daemon that has
//! restarted during an outage learns from its peers. The daemon's own functions write changes, determine
//! the outcome of a lost write, adopt snapshots and answer peers.

mod attempt;
mod bounds;
mod next;
mod steps;
mod world;

pub use attempt::{Attempt, Phase, Verdict};
pub use bounds::{Bounds, Guards};
pub use next::next;
pub use steps::Step;
pub use world::{Held, Stored, World};

use crate::explore;

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    explore::explore(&World::new(bounds), |world| next(bounds, world), World::check)
}

/// Returns the shortest sequence of steps to a state that satisfies `goal`.
pub fn reach(bounds: &Bounds, goal: impl Fn(&World) -> bool) -> Option<Vec<String>> {
    explore::reach(&World::new(bounds), |world| next(bounds, world), goal)
}
