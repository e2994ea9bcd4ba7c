//! Requests of callers, permits of schedulers, and the answers to callers.

mod ask;
mod chunk;
mod intent;
mod permit;
mod refusal;
mod request_spec;

pub use ask::Ask;
pub use chunk::{Chunk, Finish};
pub use intent::{Intent, Record};
pub use permit::Permit;
pub use refusal::{Refusal, RefusalKind};
pub use request_spec::{RequestSpec, Target};
