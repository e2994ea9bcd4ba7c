//! What a policy costs in messages.

/// Counts control messages between processes: asks, permits, reports and load reports.
///
/// Calls between callers, coordinators and endpoints that carry prompts or answers do not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// How many messages.
    pub messages: u64,
    /// Their size in MessagePack, without the connection's own headers.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one message to each of `receivers` processes.
    pub fn count(&mut self, message: &impl serde::Serialize, receivers: u64) {
        let bytes = rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len());
        self.messages += receivers;
        self.bytes += bytes as u64 * receivers;
    }

    /// Returns the sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self { messages: self.messages + other.messages, bytes: self.bytes + other.bytes }
    }
}
