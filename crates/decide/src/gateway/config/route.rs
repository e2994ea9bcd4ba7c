//! Routes of opaque requests.

use trefoildyke_types::id;

/// A route from one host and path prefix to services.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// The route's name, for logs.
    pub name: String,
    /// The host named in the request.
    pub host: String,
    /// The path prefix; begins and ends with a slash. The longest matching prefix wins.
    pub prefix: String,
    /// The services that receive the requests, with their weights; at least one weight must be
    /// above 0.
    pub targets: Vec<Target>,
    /// The rules for repeating requests of this route.
    pub kind: RouteKind,
    /// The maximum time that a request is kept, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer, or the first event of a stream, is of full use to the
    /// caller, in milliseconds.
    pub objective_ms: u64,
    /// The longest pause between two events of a stream that callers do not notice, in
    /// milliseconds.
    #[serde(default)]
    pub gap_ms: u64,
    /// The time without a first or further event after which callers abandon a stream, in
    /// milliseconds; `None` if they wait until their deadline.
    #[serde(default)]
    pub patience_ms: Option<u64>,
    /// The priority, 0 the most urgent.
    pub priority: u8,
    /// The maximum number of endpoints at which one request may run.
    pub attempts: u32,
    /// Whether requests need no API key.
    #[serde(default)]
    pub public: bool,
}

/// A service that is the target of a route.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// The service.
    pub service: id::PoolName,
    /// The share of the requests, relative to the weights of the other targets.
    pub weight: f64,
}

/// The rules for repeating requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run only once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another endpoint may continue the stream after the last received event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns whether a request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

impl Route {
    /// Returns a hash of the route's name, for messages where the name would be too long.
    pub fn name_hash(&self) -> u32 {
        xxhash_rust::xxh3::xxh3_64(self.name.as_bytes()) as u32
    }

    /// Returns the service for a request; `draw` is a random number, uniformly distributed from 0
    /// up to but not including 1.
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
