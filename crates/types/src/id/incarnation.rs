//! Incarnations of daemon processes.

use std::{fmt, num, str};

/// The identifier of one run of one daemon process, from start to exit.
///
/// The upper 44 bits hold the start time in milliseconds since the Unix epoch, so a restarted daemon gets a
/// higher incarnation. The lower 20 bits are random. The text form is 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u64);

const RANDOM_BITS: u32 = 20;

impl Incarnation {
    /// Creates the incarnation of a process that started at `unix_ms`.
    ///
    /// The low 20 bits of `random` make it unique.
    pub const fn new(unix_ms: u64, random: u32) -> Self {
        Self((unix_ms << RANDOM_BITS) | (random as u64 & ((1 << RANDOM_BITS) - 1)))
    }

    /// Creates an incarnation from its integer form.
    pub const fn from_u64(value: u64) -> Self {
        Self(value)
    }

    /// Returns the integer form.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the start time of the process, in milliseconds since the Unix epoch.
    pub const fn started_ms(self) -> u64 {
        self.0 >> RANDOM_BITS
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for Incarnation {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl serde::Serialize for Incarnation {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Incarnation {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
