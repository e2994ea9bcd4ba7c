//! The capacity of a host for work on behalf of other daemons.

/// The capacity class of a host.
///
/// Strong hosts take decisions for all daemons; weak hosts have enough to do with their own
/// requests. Each class covers a factor of two in processor cores, so that small differences do not
/// move the work of all daemons to one host.
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
    /// The class of a host that does not report its capacity.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the class for a number from [`Self::number`].
    pub const fn from_number(number: u8) -> Self {
        Self(number)
    }

    /// Returns the number of the class, for lists of members.
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Returns the class of a host whose daemon may use this number of processor cores.
    pub fn of_cores(cores: f64) -> Self {
        let hundredths = (cores * 100.0).clamp(0.0, 1e9) as u32;
        Self(hundredths.checked_ilog2().map_or(0, |power| power as u8 + 1))
    }
}
