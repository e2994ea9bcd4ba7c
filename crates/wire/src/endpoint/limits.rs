//! Timeouts and limits of the clients for endpoints.

use std::time;

/// Timeouts and limits of the clients for endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest time for opening a connection.
    pub connect: time::Duration,
    /// The longest time for a whole call without a stream, and until the head of a resumed stream has
    /// arrived. The stream of a start that takes longer is looked for while the start stays open.
    pub answer: time::Duration,
    /// The longest time a stream may carry neither a chunk nor a heartbeat before its connection is
    /// replaced.
    ///
    /// Engines send a heartbeat every 500 ms.
    pub silence: time::Duration,
    /// How long attempts to resume a stream continue before reading it fails, and the longest time
    /// until the head of the answer to a start has arrived.
    pub give_up: time::Duration,
    /// The delay between two attempts to resume; the first attempts wait only 1 ms.
    pub retry_delay: time::Duration,
    /// The number of consecutive protocol violations at which reading a stream fails.
    pub max_faults: u32,
    /// The largest chunk and the largest answer without a stream, in bytes.
    pub max_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: time::Duration::from_secs(1),
            answer: time::Duration::from_secs(2),
            silence: time::Duration::from_secs(2),
            give_up: time::Duration::from_secs(5),
            retry_delay: time::Duration::from_millis(100),
            max_faults: 3,
            max_bytes: 1 << 20,
        }
    }
}
