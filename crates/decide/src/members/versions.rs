//! The versions that one daemon, or every daemon of a set, has reached.

/// The versions that one daemon, or every daemon of a set, has reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versions {
    /// The configuration version in force; 0 if unknown.
    pub config: u64,
    /// The version up to which all planned stops have ended; at most `config`.
    pub settled: u64,
}

impl Versions {
    /// Returns the versions that both have reached.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self { config: self.config.min(other.config), settled: self.settled.min(other.settled) }
    }

    /// Returns the versions that at least one of them has reached.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self { config: self.config.max(other.config), settled: self.settled.max(other.settled) }
    }
}
