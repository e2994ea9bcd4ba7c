//! Configuration versions: racing operators, lost answers, spread, restarts, a restored service.
//!
//! Every daemon takes operators' changes to one resource, reads the root from the service and
//! learns from its peers; each of these takes as long as it likes and can fail. A daemon that has
//! restarted during an outage learns from peers. Writing, settling, adopting and answering peers
//! are the daemon's own functions.

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

/// Returns the shortest steps to a state that satisfies `goal`.
pub fn reach(bounds: &Bounds, goal: impl Fn(&World) -> bool) -> Option<Vec<String>> {
    explore::reach(&World::new(bounds), |world| next(bounds, world), goal)
}
