//! Model of planned stops: an endpoint gets no new request after the bound, and no request is cut off.
//!
//! Each daemon takes one request for the endpoint at any time, and the stop comes into force on each
//! daemon at any time within the bound. A daemon that is cut off does not learn of the stop, but by the
//! end of the bound it knows that it is cut off. One daemon may die. Once every live daemon has reported
//! the stop as settled, the operator removes the endpoint. A daemon's steps may be delayed for any time,
//! which covers a frozen daemon, but a daemon checks its own state right before it dispatches.

mod bounds;
mod next;
mod steps;
mod world;

pub use bounds::{Bounds, Guards};
pub use next::next;
pub use steps::Step;
pub use world::{Daemon, World};

use crate::explore;

/// Explores every state within the bounds.
pub fn explore(bounds: &Bounds) -> explore::Report {
    explore::explore(&World::new(bounds), |world| next(bounds, world), World::check)
}

/// Returns the shortest sequence of steps to a state that satisfies `goal`.
pub fn reach(bounds: &Bounds, goal: impl Fn(&World) -> bool) -> Option<Vec<String>> {
    explore::reach(&World::new(bounds), |world| next(bounds, world), goal)
}
