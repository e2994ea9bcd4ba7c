//! Counting what became of requests.

use std::collections;

use crate::report::request;

/// Counts what became of some requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Tally {
    /// All of them.
    pub offered: usize,
    /// Answered within their objective.
    pub in_time: usize,
    /// Answered after it, or on the second try.
    pub late: usize,
    /// Refused with a time to come back.
    pub refused: usize,
    /// Those of them that had been refused before.
    pub refused_again: usize,
    /// Ended in the middle of their answer, or left by their callers.
    pub broken: usize,
    /// Answered with a failure.
    pub failed: usize,
    /// By outcome, those that were refused, broken or failed.
    pub reasons: collections::BTreeMap<String, usize>,
}

impl Tally {
    /// Counts a request.
    pub fn count(&mut self, request: &request::Request) {
        self.offered += 1;
        match request.fate {
            request::Fate::InTime => self.in_time += 1,
            request::Fate::Late => self.late += 1,
            request::Fate::Refused => {
                self.refused += 1;
                self.refused_again += usize::from(request.returning);
            }
            request::Fate::Broken => self.broken += 1,
            request::Fate::Failed => self.failed += 1,
        }
        if !matches!(request.fate, request::Fate::InTime | request::Fate::Late) {
            *self.reasons.entry(request.outcome.clone()).or_default() += 1;
        }
    }
}
