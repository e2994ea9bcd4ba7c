//! Averages over the endpoints of a pool.

use std::time;

use trefoildyke_types::time::Timestamp;

use crate::gateway::{
    Pool,
    pool::{endpoint, initial_estimates},
};

/// Averages over the endpoints of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Averages {
    /// The fraction of the answers that failed.
    pub(super) failure_rate: f64,
    /// The time between two tokens without a prompt being read in between, in milliseconds.
    pub(super) base_step_ms: f64,
    /// The time between two tokens, in milliseconds.
    pub(super) step_ms: f64,
    /// The time to a first event without the reading of prompts, in milliseconds.
    pub(super) overhead_ms: f64,
    /// The time to read a prompt token, in milliseconds.
    pub(super) prompt_ms: f64,
    /// The number of slots of all endpoints that are not draining.
    pub(super) slots: u32,
    /// When the averages were computed.
    computed_at: Timestamp,
}

/// The largest number of endpoints for which the averages are computed for each decision.
const SMALL_POOL: usize = 32;

/// The maximum age of the averages with more endpoints. Averages over many endpoints change slowly, and
/// with some thousand decisions a second, computing them each time takes longer than the decisions.
const MAX_AGE: time::Duration = time::Duration::from_millis(20);

impl Pool {
    /// Computes the averages again if they may have changed.
    pub(super) fn refresh_averages(&mut self, now: Timestamp) {
        let is_fresh =
            self.endpoints.len() > SMALL_POOL && now.since(self.averages.computed_at) < MAX_AGE;
        if !is_fresh || self.has_roster_change {
            self.has_roster_change = false;
            self.averages = self.compute_averages(now);
        }
    }

    fn compute_averages(&self, now: Timestamp) -> Averages {
        let mut sum = Averages { computed_at: now, ..Averages::default() };
        // Endpoints of a canary version or of an unused one are excluded.
        let has_full_access =
            |endpoint: &&endpoint::Endpoint| self.versions.has_full_access(&endpoint.version);
        let mut count = 0.0;
        for endpoint in self.endpoints.values().filter(has_full_access) {
            sum.add(endpoint);
            count += 1.0;
        }
        let count = f64::max(count, 1.0);
        Averages {
            failure_rate: sum.failure_rate / count,
            base_step_ms: sum.base_step_ms / count,
            step_ms: sum.step_ms / count,
            overhead_ms: sum.overhead_ms / count,
            prompt_ms: sum.prompt_ms / count,
            ..sum
        }
    }

    /// Returns the initial estimates of a new endpoint: the means over the known endpoints.
    pub(super) fn initial_estimates(
        &mut self,
        now: Timestamp,
    ) -> initial_estimates::InitialEstimates {
        if self.endpoints.is_empty() {
            return initial_estimates::InitialEstimates::new(&self.params);
        }
        self.refresh_averages(now);
        initial_estimates::InitialEstimates {
            step_ms: self.averages.step_ms,
            overhead_steps: self.averages.overhead_ms / self.averages.base_step_ms,
            prompt_steps: self.averages.prompt_ms / self.averages.base_step_ms,
        }
    }
}

impl Averages {
    fn add(&mut self, endpoint: &endpoint::Endpoint) {
        self.failure_rate += endpoint.failure_rate();
        self.base_step_ms += endpoint.base_step_ms();
        self.step_ms += endpoint.step_ms();
        self.overhead_ms += endpoint.overhead_ms();
        self.prompt_ms += endpoint.prompt_ms();
        if !endpoint.draining {
            self.slots += endpoint.slots;
        }
    }
}
