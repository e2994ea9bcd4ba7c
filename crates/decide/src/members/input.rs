//! The events that the membership handles.

use std::net;

use trefoildyke_types::id;

use crate::members;

/// An event for the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed; sent several times per second, with a fresh random number.
    Tick {
        /// A number that others cannot predict.
        random: u64,
    },
    /// A peer started an exchange and expects an answer.
    Received(members::Digest),
    /// A peer answered an exchange that this daemon started.
    Answered {
        /// The target of the exchange.
        target: members::Target,
        /// The answer.
        digest: members::Digest,
    },
    /// An exchange that this daemon started got no answer, or a call to the member failed.
    Failed(members::Target),
    /// A helper has tried to reach a member on behalf of this daemon.
    Probed {
        /// The member that this daemon could not reach.
        target: id::Incarnation,
        /// Whether the helper reached it; `None` if the helper itself did not answer.
        reached: Option<bool>,
    },
    /// This daemon has reached later versions.
    Versions(members::Versions),
    /// The addresses at which members may be found.
    Seeds(Vec<net::SocketAddr>),
    /// This daemon starts to shut down.
    Leave,
}
