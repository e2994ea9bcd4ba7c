//! Reports of model engines: load and changes of the prefix cache.

mod cache_event;
mod load_report;

pub use cache_event::{CacheEvent, CacheEventKind};
pub use load_report::LoadReport;

/// The number of prompt tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: u32 = 16;
