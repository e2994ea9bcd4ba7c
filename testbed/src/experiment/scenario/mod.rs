//! Scenario files: what arrives, what serves it and what fails.

mod account_plan;
mod burst;
mod class_plan;
mod engine_group;
mod fault;
mod file;
mod prefix_plan;
mod report_plan;
mod token_range;

pub use account_plan::AccountPlan;
pub use burst::Burst;
pub use class_plan::ClassPlan;
pub use engine_group::EngineGroup;
pub use fault::{LostScheduler, Straggler, TakeBack};
pub use file::{Scenario, TierPlan};
pub use prefix_plan::PrefixPlan;
pub use report_plan::ReportPlan;
pub use token_range::TokenRange;
