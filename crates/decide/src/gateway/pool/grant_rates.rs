//! The rates at which waiting requests are granted slots.

use std::collections;

use trefoildyke_types::time::Timestamp;

/// Measures how many waiting requests are granted a slot per second, for each class.
///
/// The classes are measured separately because of bursts in which more urgent ranks, and requests that can
/// still be in time, take most of the slots that become free. The requests behind them are then served far
/// more slowly than the queue as a whole, since such requests that arrive later overtake them as well.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantRates {
    all: Rate,
    classes: collections::BTreeMap<usize, Rate>,
}

/// The number of requests ahead of another one in the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Ahead {
    /// The number in classes that are served first.
    pub(super) lower_classes: usize,
    /// The number in its own class.
    pub(super) own_class: usize,
}

/// The grants during the time in which requests waited.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    grants: f64,
    /// For how long requests waited, in seconds.
    seconds: f64,
    /// The time up to which `grants` and `seconds` are counted.
    counted_until: Timestamp,
    waiting: usize,
}

/// The assumption before any measurement: 80 grants per second. About ten grants, or a tenth of a second
/// without a grant, outweigh it.
const PRIOR_GRANTS: f64 = 4.0;
const PRIOR_S: f64 = 0.05;

/// The time constant with which older measurements decay, in seconds; bursts last some seconds.
const DECAY_S: f64 = 1.5;

impl GrantRates {
    /// Records that a request of `class` starts to wait.
    pub(super) fn start_waiting(&mut self, now: Timestamp, class: usize) {
        for rate in self.current_rates(now, class) {
            rate.waiting += 1;
        }
    }

    /// Records that a request of `class` no longer waits.
    pub(super) fn stop_waiting(&mut self, now: Timestamp, class: usize) {
        for rate in self.current_rates(now, class) {
            rate.waiting = rate.waiting.saturating_sub(1);
        }
    }

    /// Records that a waiting request of `class` was granted a slot.
    pub(super) fn record_grant(&mut self, now: Timestamp, class: usize) {
        self.stop_waiting(now, class);
        for rate in self.current_rates(now, class) {
            rate.grants += 1.0;
        }
    }

    /// Returns how long a request of `class` is expected to wait, in seconds.
    pub(super) fn expected_wait(&self, now: Timestamp, class: usize, ahead: Ahead) -> f64 {
        let own = self.classes.get(&class).copied().unwrap_or_default();
        ahead.lower_classes as f64 / self.all.per_second(now)
            + ahead.own_class as f64 / own.per_second(now)
    }

    fn current_rates(&mut self, now: Timestamp, class: usize) -> [&mut Rate; 2] {
        let own = self.classes.entry(class).or_default();
        self.all.advance(now);
        own.advance(now);
        [&mut self.all, own]
    }
}

impl Rate {
    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.counted_until).as_secs_f64();
        let decay = (-elapsed / DECAY_S).exp();
        self.grants *= decay;
        self.seconds *= decay;
        if self.waiting > 0 {
            self.seconds += elapsed;
        }
        self.counted_until = now.max(self.counted_until);
    }

    /// Returns how many requests are granted a slot per second while some wait; never zero.
    fn per_second(mut self, now: Timestamp) -> f64 {
        self.advance(now);
        (self.grants + PRIOR_GRANTS) / (self.seconds + PRIOR_S)
    }
}
