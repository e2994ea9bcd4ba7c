//! The project's scheduler and the baselines, all driven in the same way.

mod action;
mod central;
mod coordinators;
mod direct;
mod fleet;
mod input;
mod scheduler;
mod traffic;
mod variant;

pub use action::Action;
pub use central::Central;
pub use direct::{Choice, Direct};
pub use fleet::{Fleet, FleetEndpoint};
pub use input::{Ending, Input};
pub use scheduler::Scheduler;
pub use traffic::Traffic;
pub use variant::{Policy, Variant};
