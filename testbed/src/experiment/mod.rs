//! Experiments in virtual time: the same arrivals against variants of the policy.
//!
//! An experiment models one pool of engines and no network. It is a model of engines, not of a
//! cluster; `docs/design/experiments.md` says what is left out.

pub mod arrivals;
pub mod bound;
pub mod compare;
pub mod figures;
pub mod goals;
pub mod plot;
pub mod policy;
pub mod run;
pub mod scenario;
