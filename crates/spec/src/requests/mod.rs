//! Model of requests: accept, permit, intent, dispatch, answer, retry elsewhere, resume, takeover.
//!
//! The model has one request id, a caller that retries at other daemons, two endpoints and the
//! key-value service. Every message may be delayed for any time, reordered or lost; a frozen process is
//! one whose steps are delayed. Any daemon may believe at any time that the service is up or down, which
//! covers an outage, a single daemon that is cut off and a wrong belief.

mod bounds;
mod effects;
mod next;
mod operation;
mod steps;
mod world;

pub use bounds::{Bounds, Guards, Kind};
pub use next::next;
pub use operation::Operation;
pub use steps::Step;
pub use world::{Age, Caller, Daemon, Told, World};

use crate::{explore, invariant::Invariant};

/// Explores every state within the bounds until one violates `invariant`.
pub fn explore_for(bounds: &Bounds, invariant: Invariant) -> explore::Report {
    let check = |world: &World| world.check(bounds).filter(|broken| *broken == invariant);
    explore::explore(&World::new(bounds), |world| next(bounds, world), check)
}

/// Returns the shortest sequence of steps to a state that satisfies `goal`.
pub fn reach(bounds: &Bounds, goal: impl Fn(&World) -> bool) -> Option<Vec<String>> {
    explore::reach(&World::new(bounds), |world| next(bounds, world), goal)
}

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    explore::explore(&World::new(bounds), |world| next(bounds, world), |world| world.check(bounds))
}
