//! The ability of a daemon to place requests of other daemons.

use std::time;

/// The ability of a daemon to place requests of other daemons. Daemons with a later variant are
/// asked first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacingAbility {
    /// The daemon knows no endpoints, or leaves.
    #[default]
    Unable,
    /// The daemon has just started and does not know yet what the others have sent to the
    /// endpoints.
    New,
    /// The daemon can place requests.
    Able,
}

/// How long after its start a daemon is asked for slots only if there is no other daemon: until it
/// has read the list of endpoints and the others have reported what they have sent.
pub(super) const NEW_AGE: time::Duration = time::Duration::from_millis(2_500);

impl PlacingAbility {
    /// Returns the ability of a daemon that knows some endpoints and started `running` ago.
    pub fn after(running: time::Duration) -> Self {
        if running < NEW_AGE { Self::New } else { Self::Able }
    }
}
