//! The parameters of the quarantine of parts.

use std::time;

/// The parameters for detecting parts of prompts that crash endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartQuarantineParams {
    /// The number of crashes, one after the other, from which a part is quarantined; 3.
    pub min_crashes: usize,
    /// The time after the first of these crashes within which an answer to another request with the
    /// part shows that the part is harmless; 2 s.
    ///
    /// It covers the time until all daemons know of the crashes, and until requests that were sent
    /// after them have survived for [`Self::start_time`].
    pub evidence_time: time::Duration,
    /// The number of answers to other requests of the service, sent after the first of these crashes,
    /// from which the lack of answers to requests with the part means something; 5.
    pub min_answers: usize,
    /// The number of crashes from which a quarantine lasts for [`Self::crash_ttl`]; 5.
    pub lasting_crashes: usize,
    /// How long after the latest crash a part is quarantined under which fewer endpoints have
    /// crashed; 30 s. A harmless part that was quarantined by chance is sent again then.
    pub trial_time: time::Duration,
    /// The time from the first event of an answer within which a harmful part crashes the endpoint;
    /// 1 s.
    pub start_time: time::Duration,
    /// How long a crash counts for parts that are not quarantined; 2 minutes.
    pub suspect_ttl: time::Duration,
    /// How long a crash counts for a quarantined part; 10 minutes.
    ///
    /// This is also the longest time for which a part is quarantined, so that a repaired endpoint
    /// gets it again.
    pub crash_ttl: time::Duration,
    /// The time within which a crashed endpoint disappears from the list of endpoints, if the
    /// source of the list has answered throughout; 8 s.
    pub entry_ttl: time::Duration,
}

impl Default for PartQuarantineParams {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            evidence_time: time::Duration::from_secs(2),
            min_answers: 5,
            lasting_crashes: 5,
            trial_time: time::Duration::from_secs(30),
            start_time: time::Duration::from_secs(1),
            suspect_ttl: time::Duration::from_secs(120),
            crash_ttl: time::Duration::from_secs(600),
            entry_ttl: time::Duration::from_secs(8),
        }
    }
}
