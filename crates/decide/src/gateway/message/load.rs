//! The load that a daemon reports to the daemon that places a service's requests.

use trefoildyke_types::id;

/// The load of one daemon at one service.
///
/// Most reports contain only the endpoints that have changed, with their current values. The next
/// full report, at most a quarter of a second later, makes up for a lost report.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// The sender's incarnation; a new incarnation restarts all counters.
    pub incarnation: u64,
    /// The sequence number within the incarnation, so that a late report is ignored.
    pub number: u64,
    /// The service.
    pub service: id::PoolName,
    /// Whether the report is full: the sender has no work at endpoints that are not listed.
    /// Otherwise nothing has changed at endpoints that are not listed.
    pub is_full: bool,
    /// The number of the last slot granted by the receiver to the sender that this report includes.
    pub placed: u64,
    /// The endpoints at which the sender has work or has made observations.
    pub endpoints: Vec<EndpointLoad>,
}

impl LoadReport {
    /// Returns the number of requests that the sender runs at the listed endpoints.
    pub(crate) fn running(&self) -> u32 {
        self.endpoints.iter().map(|load| u32::from(load.running)).sum()
    }
}

/// The load of one daemon at one endpoint.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// The number of the endpoint's start.
    pub start: u64,
    /// The number of requests that were sent and have not ended.
    pub running: u16,
    /// The number of prompt tokens that were sent and whose first event has not come.
    pub prefill: u32,
    /// The time in milliseconds for which the endpoint has sent nothing although the sender has
    /// work there.
    pub silent_ms: u32,
    /// The observations since the sender's last report, if any.
    pub learned: Option<Learned>,
    /// The endpoint's rate limit, if the sender has recently received it in an answer.
    pub rate_limit: Option<RateLimitReport>,
    /// The answers since the sender's last report, while there is a canary version of the service.
    pub answers: Vec<RouteAnswers>,
    /// Whether the endpoint has said in an answer that it is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

/// A rate limit that the sender received from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RateLimitReport {
    /// The limit in requests per second; `None` if the endpoint has withdrawn it.
    pub per_s: Option<f64>,
    /// The time since the sender received it, in milliseconds.
    pub age_ms: u32,
}

/// Counts of the answers to requests of one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RouteAnswers {
    /// The hash of the route's name.
    pub route: u32,
    /// The number of all answers.
    pub count: u16,
    /// The number of answers that were failures or broke off.
    pub failed: u16,
    /// The number of answers that came far too late.
    pub slow: u16,
}

/// Observations of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Learned {
    /// The number of stream events.
    pub steps: u16,
    /// The mean time between two tokens in these streams, in milliseconds.
    pub step_ms: f32,
    /// The shortest time between two tokens in these streams, in milliseconds.
    pub least_ms: f32,
    /// The number of answers.
    pub served: u16,
    /// The number of failed and interrupted answers.
    pub failed: u16,
    /// The number of rejections and of connections that could not be opened.
    pub refused: u16,
    /// The times to the first event, if there were any.
    pub firsts: Option<Firsts>,
}

/// The sums for a linear regression of the time to the first event (`y`, as a multiple of the time
/// between two tokens) on the number of prompt tokens (`x`, in thousands).
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Firsts {
    /// The number of first events.
    pub count: u16,
    /// The sum of all `x`.
    pub x: f32,
    /// The sum of all `y`.
    pub y: f32,
    /// The sum of all `x * x`.
    pub xx: f32,
    /// The sum of all `x * y`.
    pub xy: f32,
}

impl Firsts {
    /// Returns the sums of one observation.
    pub(crate) fn one(x: f64, y: f64) -> Self {
        Self { count: 1, x: x as f32, y: y as f32, xx: (x * x) as f32, xy: (x * y) as f32 }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.x += other.x;
        self.y += other.y;
        self.xx += other.xx;
        self.xy += other.xy;
    }
}

impl Learned {
    /// Returns whether there are no observations.
    pub const fn is_empty(&self) -> bool {
        let is_silent = self.steps == 0 && self.firsts.is_none();
        is_silent && self.served == 0 && self.failed == 0 && self.refused == 0
    }

    /// Adds further observations.
    pub fn add(&mut self, other: &Self) {
        let steps = f32::from(self.steps) + f32::from(other.steps);
        if other.steps > 0 {
            self.least_ms =
                if self.steps == 0 { other.least_ms } else { self.least_ms.min(other.least_ms) };
            self.step_ms += (other.step_ms - self.step_ms) * f32::from(other.steps) / steps;
        }
        self.steps = self.steps.saturating_add(other.steps);
        self.served = self.served.saturating_add(other.served);
        self.failed = self.failed.saturating_add(other.failed);
        self.refused = self.refused.saturating_add(other.refused);
        if let Some(firsts) = &other.firsts {
            self.firsts.get_or_insert_default().add(firsts);
        }
    }

    pub(crate) fn note_step(&mut self, step_ms: f64) {
        self.least_ms =
            if self.steps == 0 { step_ms as f32 } else { self.least_ms.min(step_ms as f32) };
        self.steps = self.steps.saturating_add(1);
        self.step_ms += (step_ms as f32 - self.step_ms) / f32::from(self.steps);
    }
}
