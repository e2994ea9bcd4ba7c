//! Comparisons: every policy on the same arrivals, over several seeds.

mod comparison;
pub(crate) mod parallel;
mod plan;
mod table;

pub use comparison::{BoundFigures, Comparison};
pub use plan::{Plan, compare};
pub use table::{latency_table, policy_table};
