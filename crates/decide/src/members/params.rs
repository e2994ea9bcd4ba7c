//! Intervals and limits of the membership.

use std::time;

/// The intervals and limits of the membership; all daemons should use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Params {
    /// How often a daemon exchanges digests with its parent and with one partner.
    pub period: time::Duration,
    /// The minimum time between two exchanges that are started because of news.
    pub push_gap: time::Duration,
    /// The number of partners that are told news at once, such as a new configuration version.
    pub fan_out: usize,
    /// The number of partners that a daemon keeps, so that connections are reused.
    pub partners: usize,
    /// How often one partner is replaced by another.
    pub rotate: time::Duration,
    /// The maximum number of news updates in a digest; those about differing parts do not count.
    pub updates: usize,
    /// The maximum number of updates in a digest about differing parts.
    pub bulk: usize,
    /// How many times an update is sent, for each doubling of the number of members.
    pub resend: usize,
    /// The number of helpers that are asked to reach a member that did not answer.
    pub helpers: usize,
    /// The base time that a suspect member has to refute the suspicion.
    pub suspicion: time::Duration,
    /// The time added to `suspicion` for each doubling of the number of members.
    pub suspicion_step: time::Duration,
    /// How long a dead member is kept.
    pub forget: time::Duration,
    /// How often a daemon tries an address at which it knows no living member.
    pub reconnect: time::Duration,
    /// How long tables may differ before their differing parts are requested.
    pub settle: time::Duration,
    /// The gap between two ticks from which this process counts as having been paused.
    pub pause: time::Duration,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            period: time::Duration::from_secs(1),
            push_gap: time::Duration::from_millis(200),
            fan_out: 2,
            partners: 6,
            rotate: time::Duration::from_secs(10),
            updates: 8,
            bulk: 128,
            resend: 2,
            helpers: 3,
            suspicion: time::Duration::from_secs(3),
            suspicion_step: time::Duration::from_millis(500),
            forget: time::Duration::from_secs(600),
            reconnect: time::Duration::from_secs(10),
            settle: time::Duration::from_secs(5),
            pause: time::Duration::from_secs(4),
        }
    }
}

impl Params {
    /// Returns how long a suspect member among `count` members has to refute the suspicion.
    pub(crate) fn suspicion_among(&self, count: usize) -> time::Duration {
        self.suspicion + self.suspicion_step * bit_length(count)
    }

    /// Returns how many times an update is sent among `count` members.
    pub(crate) fn resend_among(&self, count: usize) -> usize {
        self.resend * bit_length(count) as usize
    }
}

/// Returns the number of binary digits of `count`, at least 1.
const fn bit_length(count: usize) -> u32 {
    let bits = usize::BITS - count.leading_zeros();
    if bits == 0 { 1 } else { bits }
}
