//! How requests are recognised that end endpoints.

use std::time;

/// Says how requests are recognised that end endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineParams {
    /// How many endpoints may end under a request before it is sent nowhere any more; 3.
    ///
    /// Two may well end under a harmless one, which is sent again after the first: at another endpoint it may run beside
    /// the request that ended the first.
    pub ends: usize,
    /// How long an end counts; 10 minutes.
    ///
    /// Also for how long at most a request is sent nowhere, so that a mended endpoint gets it again.
    pub kept: time::Duration,
    /// After how long the list of endpoints does not name one any more that has ended, if the list's source has answered
    /// all the while; 8 s.
    ///
    /// Three heartbeats, and the age of the oldest list that may be read.
    pub lapse: time::Duration,
}

impl Default for QuarantineParams {
    fn default() -> Self {
        Self { ends: 3, kept: time::Duration::from_secs(600), lapse: time::Duration::from_secs(8) }
    }
}
