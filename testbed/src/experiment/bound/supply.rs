//! How much engine time there is.

use crate::experiment::scenario;

/// The model rounds a step of at least 5 ms down to whole microseconds, so that an engine seems
/// faster than its speed by up to this factor.
pub(super) const ROUNDING: f64 = 1.0 / (1.0 - 1.0 / 5_000.0);

/// Holds the pool's speed over time: the sum over engines, with faults known exactly.
#[derive(Clone, Debug)]
pub(super) struct Supply {
    /// Spans of constant speed of one engine: from, to in milliseconds, and the speed.
    spans: Vec<(f64, f64, f64)>,
}

impl Supply {
    pub(super) fn new(scenario: &scenario::Scenario, end_ms: f64) -> Self {
        let groups = scenario.engines.iter();
        let speeds = groups.flat_map(|group| (0..group.count).map(|_| group.speed));
        let mut spans = Vec::new();
        for (endpoint, speed) in speeds.enumerate() {
            let endpoint = endpoint as u16;
            let taken = scenario.taken_back.iter().filter(|taken| taken.endpoint == endpoint);
            let end = taken.map(|taken| taken.at_ms as f64).fold(end_ms, f64::min);
            add_spans(scenario, endpoint, speed, end, &mut spans);
        }
        Self { spans }
    }

    /// Returns the work, in microseconds at speed 1, that the pool can do between two times.
    pub(super) fn between(&self, from_ms: f64, to_ms: f64) -> f64 {
        let part = |(start, end, speed): &(f64, f64, f64)| {
            let overlap = (end.min(to_ms) - start.max(from_ms)).max(0.0);
            overlap * speed
        };
        self.spans.iter().map(part).sum::<f64>() * 1_000.0 * ROUNDING
    }
}

fn add_spans(
    scenario: &scenario::Scenario,
    endpoint: u16,
    speed: f64,
    end: f64,
    spans: &mut Vec<(f64, f64, f64)>,
) {
    let mut straggling: Vec<_> =
        scenario.stragglers.iter().filter(|straggler| straggler.endpoint == endpoint).collect();
    straggling.sort_by_key(|straggler| straggler.at_ms);
    let mut from = 0.0;
    for straggler in straggling {
        let start = (straggler.at_ms as f64).min(end);
        let stop = straggler.for_ms.map_or(end, |length| (straggler.at_ms + length) as f64);
        spans.push((from, start, speed));
        spans.push((start, stop.min(end), speed / straggler.factor));
        from = stop.min(end);
    }
    spans.push((from, end, speed));
}
