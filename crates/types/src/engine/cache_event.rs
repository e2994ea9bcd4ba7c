//! Changes of an engine's prefix cache.

/// Says what happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block came into the cache.
    Stored,
    /// The block left the cache.
    Evicted,
}

/// Describes one change of an engine's prefix cache.
///
/// Events come late, in the order of `seq`, and some never come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// The position in the engine's own order, from 1; a gap means that events are missing.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The block's hash, which covers the blocks before it.
    pub block: u64,
}
