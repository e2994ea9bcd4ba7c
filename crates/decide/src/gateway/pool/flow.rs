//! How fast the waiting requests of one daemon are served.

use trefoildyke_types::time::Timestamp;

use crate::gateway::pool::mean;

/// Follows the time between two grants to waiting requests.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    interval: mean::Mean,
    last: Option<Timestamp>,
}

/// The interval that is assumed before anything waited, in seconds.
const PRIOR_S: f64 = 0.05;

/// Over how many grants the interval is followed; a burst brings some tens a second to a daemon.
const WINDOW: f64 = 20.0;

/// Longer pauses mean that nothing waited in between, in seconds.
const LONGEST_S: f64 = 1.0;

impl Default for Flow {
    fn default() -> Self {
        Self { interval: mean::Mean::new(PRIOR_S, WINDOW), last: None }
    }
}

impl Flow {
    /// Notes that a waiting request was granted a place.
    pub(super) fn granted(&mut self, now: Timestamp) {
        if let Some(last) = self.last.replace(now) {
            let interval = now.since(last).as_secs_f64();
            if interval < LONGEST_S {
                self.interval.observe(interval);
            }
        }
    }

    /// Returns the expected time to the next grant, in seconds.
    pub(super) const fn interval(&self, _now: Timestamp) -> f64 {
        self.interval.value()
    }
}
