//! How fast waiting requests are served.

use std::collections;

use trefoildyke_types::time::Timestamp;

/// Follows how many waiting requests are granted a place in a second, by class.
///
/// The load that this answers: a burst in which the more urgent ranks, and those that can still be in
/// time, take most of the slots that become free. What waits behind them is then served far more
/// slowly than the queue as a whole, since such requests that come later go before it as well.
#[derive(Clone, Debug, Default)]
pub(super) struct Flow {
    all: Rate,
    classes: collections::BTreeMap<usize, Rate>,
}

/// Counts the requests that stand before another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Ahead {
    /// Those of classes that go first.
    pub(super) first: usize,
    /// Those of its own class.
    pub(super) own: usize,
}

/// Counts grants in the time in which something waited.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    grants: f64,
    /// For how long something waited, in seconds.
    seconds: f64,
    /// Up to when the two are counted.
    at: Timestamp,
    waiting: usize,
}

/// What is assumed before anything was measured: 80 grants a second, which some ten grants or a tenth of a
/// second without one outweigh.
const PRIOR_GRANTS: f64 = 4.0;
const PRIOR_S: f64 = 0.05;

/// How fast the past fades, in seconds; bursts last some seconds.
const MEMORY_S: f64 = 1.5;

impl Flow {
    /// Notes that a request of `class` waits from now on.
    pub(super) fn queued(&mut self, now: Timestamp, class: usize) {
        for rate in self.rates(now, class) {
            rate.waiting += 1;
        }
    }

    /// Notes that a request of `class` waits no more.
    pub(super) fn left(&mut self, now: Timestamp, class: usize) {
        for rate in self.rates(now, class) {
            rate.waiting = rate.waiting.saturating_sub(1);
        }
    }

    /// Notes that a waiting request of `class` was granted a place.
    pub(super) fn granted(&mut self, now: Timestamp, class: usize) {
        self.left(now, class);
        for rate in self.rates(now, class) {
            rate.grants += 1.0;
        }
    }

    /// Returns how long a request of `class` is expected to wait, in seconds.
    pub(super) fn wait(&self, now: Timestamp, class: usize, ahead: Ahead) -> f64 {
        let own = self.classes.get(&class).copied().unwrap_or_default();
        ahead.first as f64 / self.all.a_second(now) + ahead.own as f64 / own.a_second(now)
    }

    fn rates(&mut self, now: Timestamp, class: usize) -> [&mut Rate; 2] {
        let own = self.classes.entry(class).or_default();
        self.all.advance(now);
        own.advance(now);
        [&mut self.all, own]
    }
}

impl Rate {
    fn advance(&mut self, now: Timestamp) {
        let passed = now.since(self.at).as_secs_f64();
        let faded = (-passed / MEMORY_S).exp();
        self.grants *= faded;
        self.seconds *= faded;
        if self.waiting > 0 {
            self.seconds += passed;
        }
        self.at = now.max(self.at);
    }

    /// Returns how many requests are granted a place in a second while some wait; never zero.
    fn a_second(mut self, now: Timestamp) -> f64 {
        self.advance(now);
        (self.grants + PRIOR_GRANTS) / (self.seconds + PRIOR_S)
    }
}
