//! What a driver has to do for one request.

use std::sync;

use trefoildyke_decide::coordinate;
use trefoildyke_types::{request, time::Timestamp};

use crate::{callers, coordinate::entry};

/// What a request starts with at its driver.
pub(super) struct Job {
    pub(super) entry: sync::Arc<entry::Entry>,
    pub(super) state: coordinate::RequestState,
    /// What to do first.
    pub(super) actions: Vec<coordinate::Action>,
    /// What the caller sent; `None` for a caller that comes back for an answer only.
    pub(super) submission: Option<sync::Arc<callers::Submission>>,
    pub(super) accepted: Timestamp,
    pub(super) deadline: Timestamp,
}

impl Job {
    /// Returns the ask for the scheduler.
    pub(super) fn ask(&self, own: trefoildyke_types::id::Incarnation) -> Option<request::Ask> {
        let submission = self.submission.as_ref()?;
        Some(request::Ask {
            key: self.entry.key.clone(),
            coordinator: own,
            rank: submission.rank,
            prompt_tokens: submission.prompt_tokens,
            max_tokens: submission.spec.max_tokens,
            prefix: submission.spec.prefix.clone(),
            left_ms: 0,
        })
    }
}
