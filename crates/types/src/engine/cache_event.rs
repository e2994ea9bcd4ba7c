//! Change events of an engine's prefix cache.

/// What happened to a block of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// One change of an engine's prefix cache.
///
/// Events arrive late and in the order of `seq`; some are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// The engine's sequence number, from 1; a gap means that events were lost.
    pub seq: u64,
    /// What happened to the block.
    pub kind: CacheEventKind,
    /// The hash of the block, which covers the blocks before it too.
    pub block: u64,
}
