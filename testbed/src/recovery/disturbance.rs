//! What disturbs a pool.

use trefoildyke_decide::gateway;

/// A disturbance of all endpoints of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// What happens.
    pub kind: Kind,
    /// When it begins, in milliseconds.
    pub start_ms: u64,
    /// When it ends, in milliseconds.
    pub end_ms: u64,
}

/// A kind of disturbance. The endpoints are sound before and after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Events arrive 1.0 to 2.2 s late.
    Retransmissions,
    /// Events arrive together every 900 ms.
    Bursts,
    /// The daemon stands still: events arrive at the end of the disturbance.
    Freeze,
    /// The endpoints stand still and go on where they were.
    Standstill,
    /// Endpoints take ten times as long.
    Slow,
    /// Answers are failures.
    Failures,
    /// Connections are refused.
    Refused,
}

/// The interval between the arrivals of events that arrive together, in milliseconds.
const BURST_INTERVAL_MS: u64 = 900;

/// How many times as long slow endpoints take.
const SLOW_FACTOR: u64 = 10;

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Retransmissions,
        Self::Bursts,
        Self::Freeze,
        Self::Standstill,
        Self::Slow,
        Self::Failures,
        Self::Refused,
    ];

    /// Returns the name of the kind.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Retransmissions => "retransmissions",
            Self::Bursts => "bursts",
            Self::Freeze => "freeze",
            Self::Standstill => "standstill",
            Self::Slow => "slow",
            Self::Failures => "failures",
            Self::Refused => "refused",
        }
    }
}

impl Disturbance {
    /// Returns whether the disturbance lasts at `time`, in milliseconds.
    pub fn lasts_at(&self, time: u64) -> bool {
        (self.start_ms..self.end_ms).contains(&time)
    }

    /// Returns when an event arrives that was sent at `time`, both in milliseconds.
    pub fn arrival(&self, time: u64) -> u64 {
        if !self.lasts_at(time) {
            return time;
        }
        match self.kind {
            Kind::Retransmissions => time + 1_000 + time % 7 * 200,
            Kind::Bursts => time.next_multiple_of(BURST_INTERVAL_MS),
            Kind::Freeze => self.end_ms,
            Kind::Standstill | Kind::Slow | Kind::Failures | Kind::Refused => time,
        }
    }

    /// Returns when an endpoint has done what it begins at `time` and usually takes `duration` for, all in
    /// milliseconds.
    pub fn completion(&self, time: u64, duration: u64) -> u64 {
        match self.kind {
            Kind::Standstill => self.completion_after_standstill(time, duration),
            Kind::Slow if self.lasts_at(time) => self.slow_completion(time, duration),
            _ => time + duration,
        }
    }

    fn completion_after_standstill(&self, time: u64, duration: u64) -> u64 {
        if time >= self.end_ms || time + duration <= self.start_ms {
            return time + duration;
        }
        self.end_ms + duration - self.start_ms.saturating_sub(time)
    }

    fn slow_completion(&self, time: u64, duration: u64) -> u64 {
        let done = (self.end_ms - time) / SLOW_FACTOR;
        if duration <= done { time + duration * SLOW_FACTOR } else { self.end_ms + duration - done }
    }

    /// Returns the outcome of a request that is sent at `time` and gets no answer of use, or `None`.
    pub fn failure(&self, time: u64) -> Option<gateway::Outcome> {
        match self.kind {
            Kind::Failures if self.lasts_at(time) => Some(gateway::Outcome::Failed),
            Kind::Refused if self.lasts_at(time) => Some(gateway::Outcome::Unreachable),
            _ => None,
        }
    }
}
