//! Keys that identify a request across client accounts.

use std::fmt;

use crate::id;

/// The identity of a request across all client accounts.
///
/// Because the key contains the account, one account cannot reach the request of another.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct RequestKey {
    /// The account that sent the request.
    pub account: id::AccountName,
    /// The identifier, unique within the account.
    pub id: id::RequestId,
}

impl RequestKey {
    /// Returns a hash that is the same on every host and in every version.
    pub fn stable_hash(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(self.account.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.id.uuid().as_bytes());
        hasher.digest()
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.account, self.id)
    }
}
