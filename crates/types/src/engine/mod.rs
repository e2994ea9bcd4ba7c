//! What a model engine reports about itself.

mod cache_event;
mod load_report;

pub use cache_event::{CacheEvent, CacheEventKind};
pub use load_report::LoadReport;

/// How many prompt tokens one prefix block stands for.
pub const BLOCK_TOKENS: u32 = 16;
