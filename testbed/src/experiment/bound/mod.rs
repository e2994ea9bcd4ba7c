//! The clairvoyant bound: what no policy can beat.
//!
//! For each tier the bound says how many of its requests can at most be completed within their
//! deadlines, if all arrivals, lengths, speeds and faults are known beforehand, no other tier
//! exists and every shared prefix is in the cache whenever that helps. It is the optimum of a
//! relaxed problem, so it lies above what even a clairvoyant policy can reach:
//! `docs/design/experiments.md` shows why it bounds.

mod supply;
mod tier_bound;
mod windows;
mod work;

pub use tier_bound::{TierBound, bounds};
