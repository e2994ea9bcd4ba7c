//! The answer of `GET /v1/cache/events`.

use trefoildyke_types::engine;

/// The cache events that an engine has published since the last call.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CachePage {
    /// The events, sorted by `seq`.
    pub events: Vec<engine::CacheEvent>,
    /// The value to pass as `after` in the next call.
    pub next: u64,
}
