//! Fingerprints that identify repeated requests.

use std::{fmt, num, str};

use trefoildyke_types::id;

/// A hash of the content of a request and its client account.
///
/// A request that is repeated under a new id has the same fingerprint. The text form is 16
/// hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request of `account` (`None` on public routes) with these
    /// `parts`: the method, the host, the target and the body.
    pub fn of(account: Option<&id::AccountName>, parts: [&[u8]; 4]) -> Self {
        let account = account.map_or(&b""[..], |account| account.as_str().as_bytes());
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        for part in [account].into_iter().chain(parts) {
            // The lengths are hashed too, because otherwise bytes could move from one part to the
            // next without changing the hash.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }

    /// Returns the fingerprint of a request whose content has the hash `hash`.
    pub const fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the fingerprint as an integer.
    pub(crate) const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for Fingerprint {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl serde::Serialize for Fingerprint {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Fingerprint {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
