//! Identities of the parts of prompts.

use trefoildyke_types::id;

/// Identifies a part of the prompts for one service, whatever stands before it.
///
/// In contrast, the key of a [`gateway::PromptPart`](crate::gateway::PromptPart) also covers all parts
/// before it. The text form is 16 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct PartKey(u64);

/// The maximum number of parts of a prompt that are told apart; one bit of a `u16` is kept for each, and
/// one for the service.
const MAX_PARTS: usize = 15;

/// Returns the keys of the parts of a prompt that other requests may share: all but the last one, which
/// belongs to the request or its session. The first key stands for the service, which all its prompts
/// share. Without such parts there are no keys.
///
/// `text` lists the parts in order, as `ID:TOKENS` pairs separated by commas. Parts beyond the first 15
/// are left out.
pub fn shared_part_keys(service: &id::PoolName, text: &str) -> Vec<PartKey> {
    let seed = xxhash_rust::xxh3::xxh3_64(service.as_str().as_bytes());
    let Some((shared, _)) = text.rsplit_once(',') else { return Vec::new() };
    let mut keys = vec![PartKey(seed)];
    for part in shared.split(',').take(MAX_PARTS) {
        let (id, _) = part.split_once(':').unwrap_or((part, ""));
        let key = PartKey(xxhash_rust::xxh3::xxh3_64_with_seed(id.trim().as_bytes(), seed));
        if !keys.contains(&key) {
            keys.push(key);
        }
    }
    keys
}

impl PartKey {
    /// Returns the key of a part with the hash `hash`.
    pub const fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the key as an integer.
    pub(crate) const fn as_u64(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for PartKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
