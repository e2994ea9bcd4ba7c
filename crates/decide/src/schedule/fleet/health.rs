//! Whether an endpoint gets new work.

use trefoildyke_types::time::Timestamp;

use crate::schedule;

/// Says why an endpoint was suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::schedule) enum Finding {
    /// Its steps take much longer than they used to, and than its peers' do.
    Slow,
    /// It has work and says nothing.
    Silent,
}

/// Holds whether an endpoint gets new work.
///
/// `Normal` becomes `Suspended` on a finding; then `Trial`, when there is a sign of recovery; then
/// `Normal` again, when the trial request gives tokens at a usual pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::schedule) enum Health {
    /// The endpoint gets work.
    Normal,
    /// The endpoint gets no new work and is probed.
    Suspended {
        /// What was found.
        finding: Finding,
        /// Since when.
        since: Timestamp,
        /// When to probe next.
        probe: Timestamp,
    },
    /// The endpoint gets one request at a time.
    Trial,
}

impl Health {
    pub(in crate::schedule) const fn suspended(finding: Finding, now: Timestamp) -> Self {
        Self::Suspended { finding, since: now, probe: now }
    }

    pub(in crate::schedule) const fn is_suspended(&self) -> bool {
        matches!(self, Self::Suspended { .. })
    }

    /// Returns whether a probe is due, and if so plans the next.
    pub(in crate::schedule) fn take_probe(
        &mut self,
        now: Timestamp,
        params: &schedule::Params,
    ) -> bool {
        let Self::Suspended { probe, .. } = self else { return false };
        let due = *probe <= now;
        if due {
            *probe = now + params.probe_interval;
        }
        due
    }
}
