//! What a gateway believes of a key, in steps of time.

use std::time;

use trefoildyke_decide::gateway::Freshness;
use trefoildyke_types::time::Timestamp;

use crate::invariant::Invariant;

/// States the length of a model of keys and its times, all in steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// For how long the model runs.
    pub steps: u64,
    /// After how long a key that was taken away must not work.
    pub bound: u64,
    /// After how long belief ends.
    pub horizon: u64,
    /// For how long the store's watches may miss a change.
    pub deaf: u64,
}

/// What one gateway believes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Belief {
    /// The gateway's clock.
    pub(crate) clock: u64,
    /// When the configuration was confirmed last, by the gateway's clock.
    pub(crate) confirmed: Option<u64>,
    /// Whether the gateway knows the key.
    pub(crate) known: bool,
}

impl Belief {
    /// Says whether a request with the key would be served, by the gateway's own function.
    pub(crate) fn serves(&self, times: &Times) -> bool {
        let mut freshness = Freshness::new(time::Duration::from_secs(times.horizon));
        if let Some(confirmed) = self.confirmed {
            freshness.confirm(at(confirmed));
        }
        self.known && freshness.accepts_keys(at(self.clock))
    }
}

impl Times {
    /// Says whether a watch of the store has heard by `now` that the key was taken away.
    pub(crate) fn heard(&self, now: u64, revoked: Option<u64>) -> bool {
        revoked.is_some_and(|revoked| now >= revoked + self.deaf)
    }

    /// Names what is broken if `belief` still serves a key for too long after it was taken away.
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

const fn at(step: u64) -> Timestamp {
    Timestamp::from_millis(step * 1_000)
}
