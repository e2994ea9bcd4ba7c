//! An endpoint's health, which decides whether it gets new work.

use trefoildyke_types::time::Timestamp;

use crate::schedule;

/// The reason for which an endpoint was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::schedule) enum Cause {
    /// Its steps take much longer than its own baseline, also in comparison with its peers.
    Slow,
    /// It has requests in progress and no reports on them arrive.
    Silent,
}

/// The health of an endpoint, which works like a circuit breaker.
///
/// `Normal` or `Trial` becomes `Suspended` when the endpoint is slow or silent. `Suspended` becomes
/// `Trial`, or directly `Normal`, on a sign of recovery. `Trial` becomes `Normal` once the trial
/// request generates tokens at the usual pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::schedule) enum Health {
    /// The endpoint gets work.
    Normal,
    /// The endpoint gets no new work and is probed.
    Suspended {
        /// The reason.
        cause: Cause,
        /// When the endpoint was suspended.
        since: Timestamp,
        /// When the next probe is due.
        next_probe: Timestamp,
    },
    /// The endpoint gets one request at a time.
    Trial,
}

impl Health {
    pub(in crate::schedule) const fn suspended(cause: Cause, now: Timestamp) -> Self {
        Self::Suspended { cause, since: now, next_probe: now }
    }

    pub(in crate::schedule) const fn is_suspended(&self) -> bool {
        matches!(self, Self::Suspended { .. })
    }

    /// Returns whether a probe is due, and if so schedules the next one.
    pub(in crate::schedule) fn take_probe(
        &mut self,
        now: Timestamp,
        params: &schedule::Params,
    ) -> bool {
        let Self::Suspended { next_probe, .. } = self else { return false };
        let due = *next_probe <= now;
        if due {
            *next_probe = now + params.probe_interval;
        }
        due
    }
}
