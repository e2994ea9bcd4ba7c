//! Hashes of account keys.

use std::{fmt, str};

/// The SHA-256 hash of an account's key, written as 64 lower-case hexadecimal digits.
///
/// ```
/// use trefoildyke_decide::config::KeyHash;
///
/// let text = "ab".repeat(32);
/// assert_eq!(text.parse::<KeyHash>()?.to_string(), text);
/// # Ok::<(), trefoildyke_decide::config::KeyHashError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

/// The error for a text that is not a key hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key hash has 64 lower-case hexadecimal digits; print one with `trefoildyke key`")]
pub struct KeyHashError;

impl KeyHash {
    /// Creates a hash from the output of SHA-256.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes, for comparison in constant time.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl str::FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 64 {
            return Err(KeyHashError);
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = digit(pair[0])? << 4 | digit(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

const fn digit(byte: u8) -> Result<u8, KeyHashError> {
    match byte {
        b'0'..=b'9' => Ok(byte - b'0'),
        b'a'..=b'f' => Ok(byte - b'a' + 10),
        _ => Err(KeyHashError),
    }
}
