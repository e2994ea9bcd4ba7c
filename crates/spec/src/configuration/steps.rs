//! The steps of the model of configuration versions.

use std::fmt;

/// A step of the model; operators and daemons are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// An operator sends a change to a daemon.
    Send(usize, usize),
    /// The service reads the root for a change.
    Read(usize),
    /// The daemon continues the change from the root that was read.
    Act(usize),
    /// The service applies a write, or answers that the root has changed.
    Apply(usize),
    /// The daemon gives up on a write that may still take effect.
    LoseWrite(usize),
    /// A write that its daemon gave up on reaches the service.
    LateWrite,
    /// The answer to a write arrives.
    Written(usize),
    /// The answer to a write is lost.
    LoseWritten(usize),
    /// The daemon gives up on a change.
    GiveUp(usize),
    /// The service reads the root for a daemon.
    Fetch(usize),
    /// A daemon adopts the root that it fetched, or restores its own snapshot if the service has lost it.
    Adopt(usize),
    /// A peer sends its snapshot to a daemon.
    Tell(usize, usize),
    /// A daemon receives a peer's snapshot.
    Learn(usize),
    /// A daemon restarts and holds no snapshot.
    Restart(usize),
    /// The service comes back without the configuration.
    Forget,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send(o, d) => write!(f, "operator {o}: sends its change to daemon {d}"),
            Self::Read(o) => write!(f, "service: reads the root for operator {o}'s change"),
            Self::Act(o) => write!(f, "operator {o}'s change: goes on from the root that was read"),
            Self::Apply(o) => write!(f, "service: gets operator {o}'s write"),
            Self::LoseWrite(o) => write!(f, "operator {o}'s write: is given up on while under way"),
            Self::LateWrite => write!(f, "service: gets a write that was given up on"),
            Self::Written(o) => write!(f, "operator {o}'s write: the answer arrives"),
            Self::LoseWritten(o) => write!(f, "operator {o}'s write: the answer is lost"),
            Self::GiveUp(o) => write!(f, "operator {o}'s change: times out"),
            Self::Fetch(d) => write!(f, "service: reads the root for daemon {d}"),
            Self::Adopt(d) => write!(f, "daemon {d}: gets the root"),
            Self::Tell(p, d) => write!(f, "daemon {p}: answers its peer, daemon {d}"),
            Self::Learn(d) => write!(f, "daemon {d}: gets its peer's answer"),
            Self::Restart(d) => write!(f, "daemon {d}: restarts and holds nothing"),
            Self::Forget => write!(f, "service: comes back without the configuration"),
        }
    }
}
