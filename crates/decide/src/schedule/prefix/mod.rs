//! Tracking of the prompt prefixes in the endpoints' caches.

mod cache_model;
mod checkpoint;
mod index;

pub(super) use checkpoint::{Checkpoint, checkpoints};
pub(super) use index::Index;
