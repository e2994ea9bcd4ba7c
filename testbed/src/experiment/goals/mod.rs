//! The goals of the decisions under load and faults, measured and judged.

mod cost;
mod flood;
mod goal;
mod long_prompt;
mod order;
mod overload;
mod suite;
mod takeover;
mod waste;

pub use goal::{Goal, Verdict, goal_table};
pub use suite::{Suite, measure};
