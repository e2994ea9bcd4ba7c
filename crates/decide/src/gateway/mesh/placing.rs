//! Whether a daemon can place the requests of others.

use std::time;

/// Says whether a daemon can place the requests of others. Later ones are asked first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Placing {
    /// It knows no endpoints, or leaves.
    #[default]
    Unable,
    /// It has just started and does not know yet what the others have sent.
    New,
    /// It can.
    Able,
}

/// For how long after its start a daemon is asked for places only if there is no other: until it has
/// read the list of endpoints and the others have told it what they have sent.
pub(super) const NEW: time::Duration = time::Duration::from_millis(2_500);

impl Placing {
    /// Returns what a daemon can do that knows some endpoints, by how long ago it started.
    pub fn after(running: time::Duration) -> Self {
        if running < NEW { Self::New } else { Self::Able }
    }
}
