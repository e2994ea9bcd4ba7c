//! The steps of the model of configuration versions.

use std::fmt;

/// Names one step; operators and daemons are given by their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// An operator sends a change to a daemon.
    Send(usize, usize),
    /// The service reads the root for a change.
    Read(usize),
    /// The change goes one step further on the root that was read.
    Act(usize),
    /// The service takes a write, or answers that the root has changed.
    Apply(usize),
    /// A write is given up on and may yet take effect.
    LoseWrite(usize),
    /// A write that was given up on reaches the service.
    LateWrite,
    /// The answer to a write arrives.
    Written(usize),
    /// The answer to a write is lost.
    LoseWritten(usize),
    /// The daemon gives up on a change.
    GiveUp(usize),
    /// The service reads the root for a daemon.
    Fetch(usize),
    /// A daemon adopts what it fetched, or writes back what the service has lost.
    Adopt(usize),
    /// A peer answers a daemon.
    Tell(usize, usize),
    /// A daemon learns what a peer answered.
    Learn(usize),
    /// A daemon restarts and holds nothing.
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
            Self::GiveUp(o) => write!(f, "operator {o}'s change: its time is over"),
            Self::Fetch(d) => write!(f, "service: reads the root for daemon {d}"),
            Self::Adopt(d) => write!(f, "daemon {d}: gets the root"),
            Self::Tell(p, d) => write!(f, "daemon {p}: answers its peer, daemon {d}"),
            Self::Learn(d) => write!(f, "daemon {d}: gets its peer's answer"),
            Self::Restart(d) => write!(f, "daemon {d}: restarts and holds nothing"),
            Self::Forget => write!(f, "service: comes back without the configuration"),
        }
    }
}
