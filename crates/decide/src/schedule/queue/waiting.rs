//! A waiting request.

use trefoildyke_types::{request, time::Timestamp};

use crate::schedule::prefix;

/// A waiting request and its estimates.
#[derive(Clone, Debug)]
pub(in crate::schedule) struct Waiting {
    /// The request; its `prefix` is empty, since `checkpoints` replace it.
    pub(in crate::schedule) ask: request::Ask,
    pub(in crate::schedule) checkpoints: Vec<prefix::Checkpoint>,
    pub(in crate::schedule) deadline: Timestamp,
    /// The latest useful start: after it no endpoint is expected to finish before the deadline.
    pub(in crate::schedule) latest_start: Timestamp,
    /// The minimum time that the fastest endpoint needs, in seconds; 0 if it is not known.
    pub(in crate::schedule) min_service: f64,
    /// The expected work, in generated tokens or their equivalent in prompt tokens.
    pub(in crate::schedule) cost: f64,
    /// The expected length of the answer, in tokens.
    pub(in crate::schedule) expected_tokens: f64,
    /// Whether the prompt counts as long.
    pub(in crate::schedule) is_long: bool,
    /// When the request was first held for a busy endpoint.
    pub(in crate::schedule) held_since: Option<Timestamp>,
}
