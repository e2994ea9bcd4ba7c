//! Which endpoint has which prompt prefix in its cache.

mod checkpoint;
mod contents;
mod index;

pub(super) use checkpoint::{Checkpoint, checkpoints};
pub(super) use index::Index;
