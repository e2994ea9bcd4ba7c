//! The load tool: open-loop load of a scenario against real daemons over HTTP.
//!
//! Every request is sent at its time, whether earlier ones have been answered or not. Each answer
//! is checked to be whole and the caller's own.

mod answer_check;
mod attempt;
mod drive;
mod figures;
mod overhead;
mod plan;
mod request_log;
mod sender;

pub use answer_check::{AnswerCheck, Fault};
pub use attempt::{Attempt, Ending};
pub use drive::drive;
pub use figures::{LoadFigures, load_table};
pub use overhead::{Overhead, OverheadFigures, measure_overhead, overhead_table};
pub use plan::{AccountKeys, Plan, Retries, parse_addresses};
pub use request_log::RequestLog;
