//! The timing of commits.

use std::time;

use trefoildyke_types::time::Timestamp;

/// Returns the start time of the next commit of a bucket with waiting rows.
///
/// Commits of a bucket start at least `window` apart, which limits the rate of writes. A row that
/// arrives at least `window` after the start of the last commit does not wait.
pub fn next_commit(
    arrived: Timestamp,
    last: Option<Timestamp>,
    window: time::Duration,
) -> Timestamp {
    last.map_or(arrived, |last| arrived.max(last + window))
}
