//! What happens to the membership.

use std::net;

use trefoildyke_types::id;

use crate::members;

/// Describes something that the membership must react to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed; comes several times a second, with a fresh random number.
    Tick {
        /// Any number that others cannot foresee.
        random: u64,
    },
    /// A peer started an exchange; the answer goes back to it.
    Received(members::Digest),
    /// A peer answered an exchange that this daemon started.
    Answered {
        /// Whom the exchange was with.
        target: members::Target,
        /// The answer.
        digest: members::Digest,
    },
    /// An exchange that this daemon started got no answer, or a call to the member failed.
    Failed(members::Target),
    /// A member has tried to reach another one on behalf of this daemon.
    Probed {
        /// The member that could not be reached from here.
        target: id::Incarnation,
        /// Whether it could be reached from there; `None` if the helper itself did not answer.
        reached: Option<bool>,
    },
    /// This daemon has come further.
    Versions(members::Versions),
    /// The addresses at which members may be found.
    Seeds(Vec<net::SocketAddr>),
    /// This daemon starts to shut down.
    Leave,
}
