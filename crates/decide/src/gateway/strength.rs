//! How much work for others a host can take.

/// Tells the hosts that are fit to decide for all from those that have enough to do with their own
/// requests.
///
/// Strength rises in steps of a factor of two, so that small differences do not move the work of all to
/// one host.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Strength(u8);

impl Strength {
    /// Of a host that does not tell.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the strength with the number that [`Self::number`] gave.
    pub const fn from_number(number: u8) -> Self {
        Self(number)
    }

    /// Returns the strength as a number, for lists of members.
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Returns the strength of a host whose daemon may use so many processor cores.
    pub fn of_cores(cores: f64) -> Self {
        let hundredths = (cores * 100.0).clamp(0.0, 1e9) as u32;
        Self(hundredths.checked_ilog2().map_or(0, |power| power as u8 + 1))
    }
}
