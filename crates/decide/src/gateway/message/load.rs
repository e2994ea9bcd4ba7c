//! What a daemon tells the daemon that places a service's requests.

use trefoildyke_types::id;

/// Holds one daemon's work at one service.
///
/// Most tell only what has changed at an endpoint, as it is now; what a lost one told is made up for by the next
/// that is full, a quarter of a second later at most.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// The sender's incarnation; a new one starts all counters anew.
    pub incarnation: u64,
    /// Rises with each report of an incarnation, so that one that comes late is ignored.
    pub number: u64,
    /// The service.
    pub service: id::PoolName,
    /// Whether the sender has no work at endpoints that are not named; else nothing has changed there.
    pub is_full: bool,
    /// The last place that the receiver gave to the sender and that is counted here.
    pub placed: u64,
    /// The endpoints at which the sender has work or of which it has learned something.
    pub endpoints: Vec<EndpointLoad>,
}

impl LoadReport {
    /// Returns how many requests the sender has at the endpoints that are named.
    pub(crate) fn running(&self) -> u32 {
        self.endpoints.iter().map(|load| u32::from(load.running)).sum()
    }
}

/// Holds one daemon's work at one endpoint.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// Which start of the endpoint the sender means.
    pub start: u64,
    /// Requests sent and not ended.
    pub running: u16,
    /// Prompt tokens sent whose first event has not come.
    pub prefill: u32,
    /// For how long the sender has heard nothing from there though it has work, in milliseconds.
    pub silent_ms: u32,
    /// What the sender has learned since its last report, if anything.
    pub learned: Option<Learned>,
    /// The endpoint's rate limit, if the sender has recently received it in an answer.
    pub rate_limit: Option<RateLimitReport>,
    /// The answers since the sender's last report, while another version of the service is tried.
    pub answers: Vec<RouteAnswers>,
}

/// Reports the rate limit that the sender received from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RateLimitReport {
    /// The limit in requests per second; `None` if the endpoint has withdrawn it.
    pub per_s: Option<f64>,
    /// The time since the sender received it, in milliseconds.
    pub age_ms: u32,
}

/// Counts the answers to requests of one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RouteAnswers {
    /// Stands for the route.
    pub route: u32,
    /// All answers.
    pub count: u16,
    /// Those that were failures or broke off.
    pub failed: u16,
    /// Those that came far too late.
    pub slow: u16,
}

/// Holds what was seen of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Learned {
    /// Events of streams.
    pub steps: u16,
    /// The mean time between two tokens in them, in milliseconds.
    pub step_ms: f32,
    /// The shortest time between two tokens in them, in milliseconds.
    pub least_ms: f32,
    /// Answers.
    pub served: u16,
    /// Failed and broken answers.
    pub failed: u16,
    /// Rejections, and connections that could not be opened.
    pub refused: u16,
    /// How long first events took, if there were any.
    pub firsts: Option<Firsts>,
}

/// Sums up how long first events took (`y`, in times between two tokens) after how many prompt tokens (`x`,
/// in thousands): what a straight line through them follows from.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Firsts {
    /// How many first events.
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
    /// Returns one observation.
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
    /// Says whether nothing was seen.
    pub const fn is_empty(&self) -> bool {
        let is_silent = self.steps == 0 && self.firsts.is_none();
        is_silent && self.served == 0 && self.failed == 0 && self.refused == 0
    }

    /// Adds what was seen besides.
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
