//! What is usual among the endpoints of a pool.

use std::time;

use trefoildyke_types::time::Timestamp;

use crate::gateway::{
    Pool,
    pool::{assumed, endpoint},
};

/// Holds means over the endpoints of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usual {
    /// The part of failed answers.
    pub(super) failures: f64,
    /// The time between two tokens where no prompt is read in between, in milliseconds.
    pub(super) pace_ms: f64,
    /// The time between two tokens, in milliseconds.
    pub(super) step_ms: f64,
    /// The time to a first event beside the prompts', in milliseconds.
    pub(super) begin_ms: f64,
    /// The time that a prompt token takes, in milliseconds.
    pub(super) prompt_ms: f64,
    /// Slots of all endpoints that do not leave.
    pub(super) slots: u32,
    /// When it was worked out.
    at: Timestamp,
}

/// Up to how many endpoints the means are worked out anew for each decision.
const FEW: usize = 32;

/// How old they may be with more endpoints: the means over many change slowly, and to work them out for each of some
/// thousand decisions a second takes more than the decisions.
const AGE: time::Duration = time::Duration::from_millis(20);

impl Pool {
    /// Works out what is usual, if that may have changed.
    pub(super) fn refresh(&mut self, now: Timestamp) {
        let is_new = self.endpoints.len() > FEW && now.since(self.usual.at) < AGE;
        if !is_new || self.has_listed {
            self.has_listed = false;
            self.usual = self.work_out(now);
        }
    }

    fn work_out(&self, now: Timestamp) -> Usual {
        let mut sum = Usual { at: now, ..Usual::default() };
        // What is tried, or not used at all, is no measure.
        let is_full = |endpoint: &&endpoint::Endpoint| self.versions.is_full(&endpoint.version);
        let mut count = 0.0;
        for endpoint in self.endpoints.values().filter(is_full) {
            sum.add(endpoint);
            count += 1.0;
        }
        let count = f64::max(count, 1.0);
        Usual {
            failures: sum.failures / count,
            pace_ms: sum.pace_ms / count,
            step_ms: sum.step_ms / count,
            begin_ms: sum.begin_ms / count,
            prompt_ms: sum.prompt_ms / count,
            ..sum
        }
    }

    /// Returns what is assumed of an endpoint that is new: the mean of those that are known.
    pub(super) fn assumed(&mut self, now: Timestamp) -> assumed::Assumed {
        if self.endpoints.is_empty() {
            return assumed::Assumed::new(&self.params);
        }
        self.refresh(now);
        assumed::Assumed {
            step_ms: self.usual.step_ms,
            begin: self.usual.begin_ms / self.usual.pace_ms,
            prompt: self.usual.prompt_ms / self.usual.pace_ms,
        }
    }
}

impl Usual {
    fn add(&mut self, endpoint: &endpoint::Endpoint) {
        self.failures += endpoint.failure_part();
        self.pace_ms += endpoint.pace_ms();
        self.step_ms += endpoint.step_ms();
        self.begin_ms += endpoint.begin_ms();
        self.prompt_ms += endpoint.prompt_ms();
        if !endpoint.draining {
            self.slots += endpoint.slots;
        }
    }
}
