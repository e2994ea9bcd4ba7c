//! A small specification of the core protocol, explored exhaustively.
//!
//! Each module is one model: a state, the steps that lead from it, and the invariants that must
//! hold in it. The steps call the same decision functions as the daemon. The daemon's environment
//! (delays, losses, crashes, outages) is nondeterministic, so an invariant that holds in a model holds
//! for every behaviour of the environment within the stated bounds.

pub mod answers;
pub mod attempts;
pub mod belief;
pub mod commits;
pub mod configuration;
pub mod explore;
pub mod invariant;
pub mod keys;
pub mod orders;
pub mod passed_keys;
pub mod requests;
pub mod rollouts;
pub mod stops;
