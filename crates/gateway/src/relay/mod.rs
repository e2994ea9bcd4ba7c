//! Forwards streams of events to callers.

mod stream;

pub(crate) use stream::stream;
