//! Load reports of endpoints.

/// The load of an endpoint at one moment in the past.
///
/// The load has usually changed by the time the report is read. For a plain service, the fields for tokens,
/// blocks and steps are 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// The time of the report by the endpoint's clock, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// The number of streams in the batch.
    pub running: u32,
    /// The number of streams that wait for a slot.
    pub waiting: u32,
    /// The number of prompt tokens still to process, over running and waiting streams.
    pub queued_prefill: u64,
    /// The maximum number of tokens still to generate, over running and waiting streams.
    pub queued_decode: u64,
    /// The number of blocks in the prefix cache.
    pub cached_blocks: u32,
    /// The duration of the last engine step, in microseconds; 0 before the first step.
    pub step_us: u64,
}
