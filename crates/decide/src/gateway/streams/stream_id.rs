//! Identifiers of streams.

use trefoildyke_types::id;

/// Identifies a stream over all attempts of its caller.
///
/// It is a hash that covers the client account, so that no caller can name a stream of another account.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct StreamId(u64);

impl StreamId {
    /// Returns the identifier of the stream of `account` (`None` on public routes) at `service` whose first
    /// event answered the request `first`.
    pub fn of(service: &id::PoolName, account: Option<&id::AccountName>, first: &str) -> Self {
        let account = account.map_or(&b""[..], |account| account.as_str().as_bytes());
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        for part in [service.as_str().as_bytes(), account, first.as_bytes()] {
            // The lengths are hashed too, because otherwise bytes could move from one part to the next
            // without changing the hash.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }

    /// Returns the identifier as an integer.
    pub(crate) const fn as_u64(self) -> u64 {
        self.0
    }
}
