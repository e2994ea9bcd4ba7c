//! When a bucket writes.

use std::time;

use trefoildyke_types::time::Timestamp;

/// Returns when a bucket that has waiting rows starts its next commit.
///
/// Commits of a bucket start at least `window` apart, which bounds the writes. A row that comes
/// after a quiet time does not wait at all.
pub fn commit_at(arrived: Timestamp, last: Option<Timestamp>, window: time::Duration) -> Timestamp {
    last.map_or(arrived, |last| arrived.max(last + window))
}
