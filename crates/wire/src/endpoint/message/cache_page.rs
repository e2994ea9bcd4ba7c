//! `GET /v1/cache/events`

use trefoildyke_types::engine;

/// Holds the cache events that an engine has published since the last call.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CachePage {
    /// The events, in the order of their `seq`.
    pub events: Vec<engine::CacheEvent>,
    /// The `after` of the next call.
    pub next: u64,
}
