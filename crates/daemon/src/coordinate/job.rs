//! The initial state of a driver.

use std::sync;

use trefoildyke_decide::coordinate;
use trefoildyke_types::{request, time::Timestamp};

use crate::{callers, coordinate::entry};

/// A request as it is handed to its driver.
pub(super) struct Job {
    pub(super) entry: sync::Arc<entry::Entry>,
    pub(super) state: coordinate::RequestState,
    /// The actions to carry out first.
    pub(super) actions: Vec<coordinate::Action>,
    /// The caller's request; `None` if the caller only resumes an answer.
    pub(super) submission: Option<sync::Arc<callers::Submission>>,
    pub(super) accepted: Timestamp,
    pub(super) deadline: Timestamp,
}

impl Job {
    /// Returns the ask for the scheduler, with `left_ms` 0; `None` if the caller only resumes an answer.
    pub(super) fn ask(&self, own: trefoildyke_types::id::Incarnation) -> Option<request::Ask> {
        let submission = self.submission.as_ref()?;
        Some(request::Ask {
            key: self.entry.key.clone(),
            coordinator: own,
            rank: submission.rank,
            prompt_tokens: submission.prompt_tokens,
            max_tokens: submission.spec.max_tokens,
            prefix: submission.spec.prefix.clone(),
            fingerprint: Some(coordinate::fingerprint(&submission.spec)),
            left_ms: 0,
        })
    }
}
