//! How far one daemon, or every daemon of a set, has come.

/// Says how far the configuration has come, at one daemon or at every daemon of a set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versions {
    /// The configuration version in force; 0 if unknown.
    pub config: u64,
    /// The version up to which all planned stops have ended; at most `config`.
    pub settled: u64,
}

impl Versions {
    /// Returns how far both have come.
    #[must_use]
    pub fn lowest(self, other: Self) -> Self {
        Self { config: self.config.min(other.config), settled: self.settled.min(other.settled) }
    }

    /// Returns how far either has come.
    #[must_use]
    pub fn highest(self, other: Self) -> Self {
        Self { config: self.config.max(other.config), settled: self.settled.max(other.settled) }
    }
}
