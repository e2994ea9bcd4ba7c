//! What tells equal requests from others.

use std::{fmt, num, str};

use trefoildyke_types::id;

/// Stands for what is asked and by whom: a request that comes again under a new id has the same fingerprint.
///
/// It is written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Works out the fingerprint of a request of `account`, which may be public, from its `parts`: the method, the host,
    /// the target and the body.
    pub fn of(account: Option<&id::AccountName>, parts: [&[u8]; 4]) -> Self {
        let account = account.map_or(&b""[..], |account| account.as_str().as_bytes());
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        for part in [account].into_iter().chain(parts) {
            // Without the lengths, bytes could move from one part to the next.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }

    /// Returns the number.
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
