//! Counts of requests by result.

use std::collections;

use crate::report::request;

/// Counts of requests by result.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Tally {
    /// All requests.
    pub offered: usize,
    /// Answered within their objective.
    pub in_time: usize,
    /// Answered after their objective, or only on a retry.
    pub late: usize,
    /// Refused with a retry delay.
    pub refused: usize,
    /// Refused requests that were retries after a refusal.
    pub refused_again: usize,
    /// Ended in the middle of the answer, or abandoned by the caller.
    pub broken: usize,
    /// Answered with a failure.
    pub failed: usize,
    /// Refused, broken and failed requests by outcome.
    pub reasons: collections::BTreeMap<String, usize>,
}

impl Tally {
    /// Counts a request.
    pub fn count(&mut self, request: &request::Request) {
        self.offered += 1;
        match request.status {
            request::Status::InTime => self.in_time += 1,
            request::Status::Late => self.late += 1,
            request::Status::Refused => {
                self.refused += 1;
                self.refused_again += usize::from(request.returning);
            }
            request::Status::Broken => self.broken += 1,
            request::Status::Failed => self.failed += 1,
        }
        if !matches!(request.status, request::Status::InTime | request::Status::Late) {
            *self.reasons.entry(request.outcome.clone()).or_default() += 1;
        }
    }
}
