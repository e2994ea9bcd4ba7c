//! Forwards answers to callers.

mod buffered;
mod stream;

pub(crate) use buffered::buffered;
pub(crate) use stream::stream;
