//! What the stand-in has counted.

/// Counts the calls that the stand-in has seen; the body of `GET /admin/stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stats {
    /// Writes carried out or in conflict, lease calls included.
    pub writes: u64,
    /// Reads.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Calls refused by the rate limits.
    pub refused: u64,
    /// Bytes of values written.
    pub written_bytes: u64,
}
