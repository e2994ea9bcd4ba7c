//! The load of an endpoint, as it was a while ago.

/// Describes an endpoint's load at one moment; it is stale by the time it is read.
///
/// A plain service reports no tokens, blocks and steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// When the load was so, in milliseconds since the Unix epoch by the endpoint's clock.
    pub as_of_ms: u64,
    /// Streams in the batch.
    pub running: u32,
    /// Streams that wait for a slot.
    pub waiting: u32,
    /// Prompt tokens still to process, of running and waiting streams.
    pub queued_prefill: u64,
    /// The most tokens still to generate, of running and waiting streams.
    pub queued_decode: u64,
    /// Blocks in the prefix cache.
    pub cached_blocks: u32,
    /// The length of the last step, in microseconds; 0 before the first.
    pub step_us: u64,
}
