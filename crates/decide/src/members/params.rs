//! Intervals and bounds of the membership.

use std::time;

/// Holds the intervals and bounds; all daemons should use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Params {
    /// How often a daemon exchanges digests with its parent and with one partner.
    pub period: time::Duration,
    /// The least time between two exchanges that are started because of news.
    pub push_gap: time::Duration,
    /// How many partners hear at once of a new configuration version.
    pub fan_out: usize,
    /// How many partners a daemon keeps, so that connections are reused.
    pub partners: usize,
    /// How often one partner is replaced by another.
    pub rotate: time::Duration,
    /// The most updates in a digest, answers about differing parts aside.
    pub updates: usize,
    /// The most updates in an answer about differing parts.
    pub bulk: usize,
    /// How many times an update is sent, for each doubling of the number of members.
    pub resend: usize,
    /// How many members are asked to reach one that did not answer.
    pub helpers: usize,
    /// The time that a suspect has to refute, and more for each doubling of the number of members.
    pub suspicion: time::Duration,
    /// What is added to `suspicion` for each doubling of the number of members.
    pub suspicion_step: time::Duration,
    /// How long a dead member is remembered.
    pub forget: time::Duration,
    /// How often a daemon tries an address at which it knows no living member.
    pub reconnect: time::Duration,
    /// How long tables may differ before their differing parts are asked for.
    pub settle: time::Duration,
    /// A gap between ticks that means that this process was paused.
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
    /// Returns how long a suspect has to refute among `count` members.
    pub(crate) fn suspicion_among(&self, count: usize) -> time::Duration {
        self.suspicion + self.suspicion_step * log2(count)
    }

    /// Returns how often an update is sent among `count` members.
    pub(crate) fn resend_among(&self, count: usize) -> usize {
        self.resend * log2(count) as usize
    }
}

/// Returns the logarithm rounded up, at least 1.
const fn log2(count: usize) -> u32 {
    let bits = usize::BITS - count.leading_zeros();
    if bits == 0 { 1 } else { bits }
}
