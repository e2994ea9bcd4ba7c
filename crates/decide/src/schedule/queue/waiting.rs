//! One waiting request.

use trefoildyke_types::{request, time::Timestamp};

use crate::schedule::prefix;

/// Holds a waiting request.
#[derive(Clone, Debug)]
pub(in crate::schedule) struct Waiting {
    /// The request; its `prefix` is empty, since `checkpoints` stand for it.
    pub(in crate::schedule) ask: request::Ask,
    pub(in crate::schedule) checkpoints: Vec<prefix::Checkpoint>,
    pub(in crate::schedule) deadline: Timestamp,
    /// After this time no endpoint could finish before the deadline.
    pub(in crate::schedule) latest: Timestamp,
    /// How long the fastest endpoint would surely need, in seconds.
    pub(in crate::schedule) service: f64,
    /// The expected work, in tokens to generate or what takes as long.
    pub(in crate::schedule) cost: f64,
    /// The expected length of the answer, in tokens.
    pub(in crate::schedule) expected: f64,
    /// Whether its prompt counts as long.
    pub(in crate::schedule) is_long: bool,
    /// Since when it was held for an endpoint that was not free.
    pub(in crate::schedule) held: Option<Timestamp>,
}
