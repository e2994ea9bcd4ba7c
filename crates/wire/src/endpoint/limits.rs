//! Limits of the clients for endpoints.

use std::time;

/// Limits how long the clients for endpoints wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long opening a connection may take.
    pub connect: time::Duration,
    /// How long an answer's head may take, and a call without a stream.
    pub answer: time::Duration,
    /// How long a stream may stay without a chunk or a beat before its connection is replaced.
    ///
    /// Engines beat every 500 ms.
    pub silence: time::Duration,
    /// How long attempts to resume a stream go on before the stream is given up.
    pub give_up: time::Duration,
    /// The pause between two attempts to resume.
    pub pause: time::Duration,
    /// How many answers in a row may break the protocol before the stream is given up.
    pub faults: u32,
    /// The longest chunk, and the longest answer without a stream, in bytes.
    pub size: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: time::Duration::from_secs(1),
            answer: time::Duration::from_secs(2),
            silence: time::Duration::from_secs(2),
            give_up: time::Duration::from_secs(5),
            pause: time::Duration::from_millis(100),
            faults: 3,
            size: 1 << 20,
        }
    }
}
