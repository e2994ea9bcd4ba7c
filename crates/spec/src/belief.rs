//! A gateway's cached knowledge of a key; time is counted in steps.

use std::time;

use trefoildyke_decide::gateway::Freshness;
use trefoildyke_types::time::Timestamp;

use crate::invariant::Invariant;

/// The length and the times of a model of keys, all in steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long the model runs.
    pub steps: u64,
    /// How long after its revocation a key may still work.
    pub bound: u64,
    /// How long a confirmation of the configuration stays valid.
    pub horizon: u64,
    /// How long the store's watches may miss a change.
    pub watch_gap: u64,
}

/// One gateway's knowledge of the key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Belief {
    /// The gateway's clock.
    pub(crate) clock: u64,
    /// When the configuration was last confirmed, by the gateway's clock.
    pub(crate) confirmed: Option<u64>,
    /// Whether the gateway knows the key.
    pub(crate) known: bool,
}

impl Belief {
    /// Returns whether the gateway would serve a request with the key, as its own function decides.
    pub(crate) fn serves(&self, times: &Times) -> bool {
        let mut freshness = Freshness::new(time::Duration::from_secs(times.horizon));
        if let Some(confirmed) = self.confirmed {
            freshness.confirm(timestamp(confirmed));
        }
        self.known && freshness.is_confirmed(timestamp(self.clock))
    }
}

impl Times {
    /// Returns whether a watch of the store has reported the revocation of the key by `now`.
    pub(crate) fn heard(&self, now: u64, revoked: Option<u64>) -> bool {
        revoked.is_some_and(|revoked| now >= revoked + self.watch_gap)
    }

    /// Returns the violated invariant if `belief` still serves the key after the bound on revocation.
    pub(crate) fn check(
        &self,
        now: u64,
        revoked: Option<u64>,
        belief: &Belief,
    ) -> Option<Invariant> {
        let is_late = revoked.is_some_and(|revoked| now > revoked + self.bound);
        (is_late && belief.serves(self)).then_some(Invariant::KeysFailClosed)
    }
}

const fn timestamp(step: u64) -> Timestamp {
    Timestamp::from_millis(step * 1_000)
}
