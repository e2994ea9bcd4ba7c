//! Routes of opaque requests.

use trefoildyke_types::id;

/// Leads requests of one host below one path to a service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host that the request names.
    pub host: String,
    /// The beginning of the path; begins and ends with a slash. The longest match wins.
    pub prefix: String,
    /// Where requests go, each with its weight; at least one with a weight above 0.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request is kept, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer, or a stream's first event, is of full use, in milliseconds.
    pub objective_ms: u64,
    /// The longest pause between two events of a stream that callers don't notice, in milliseconds.
    #[serde(default)]
    pub gap_ms: u64,
    /// After how long without a first or a further event callers leave a stream, in milliseconds;
    /// `None` if only at their deadline.
    #[serde(default)]
    pub patience_ms: Option<u64>,
    /// The rank, 0 the most urgent.
    pub priority: u8,
    /// At how many endpoints one request may run at most.
    pub attempts: u32,
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
}

/// Names a service that a route leads to.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// The service.
    pub service: id::PoolName,
    /// Its part of the requests, against the other targets' weights.
    pub weight: f64,
}

/// Says what may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another endpoint may go on after the last event that was received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Says whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Says whether a request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

impl Route {
    /// Returns a number that stands for the route where its name would be too long.
    pub fn mark(&self) -> u32 {
        xxhash_rust::xxh3::xxh3_64(self.name.as_bytes()) as u32
    }

    /// Picks the service of a request; `draw` lies from 0 up to 1 and is drawn evenly.
    pub fn pick(&self, draw: f64) -> Option<&id::PoolName> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * total;
        for target in self.targets.iter().filter(|target| target.weight > 0.0) {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        self.targets.iter().rev().find(|target| target.weight > 0.0).map(|target| &target.service)
    }
}
