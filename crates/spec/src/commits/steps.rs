//! The steps of the model of commits.

use std::fmt;

/// A step of the model; daemons are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A daemon sends a read or a write.
    Ask(usize),
    /// The service handles a daemon's read or write.
    Serve(usize),
    /// A daemon's read or write is refused and changes nothing.
    Refuse(usize),
    /// A daemon gives up on a write that may still take effect.
    Lose(usize),
    /// A write that a daemon gave up on reaches the service.
    Late,
    /// The service's answer arrives.
    Answer(usize),
    /// The service's answer is lost.
    LoseAnswer(usize),
    /// A daemon ends its commit, complete or not.
    Finish(usize),
    /// Time passes until the request ids have this age in milliseconds.
    Grow(u64),
    /// The expired slot is deleted by a daemon with an exact clock.
    Delete,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ask(d) => write!(f, "daemon {d}: sends the next read or write"),
            Self::Serve(d) => write!(f, "service: serves daemon {d}"),
            Self::Refuse(d) => write!(f, "daemon {d}: its read or write is refused"),
            Self::Lose(d) => write!(f, "daemon {d}: gives up on its write, which is under way"),
            Self::Late => write!(f, "service: gets a write that was given up on"),
            Self::Answer(d) => write!(f, "daemon {d}: the answer arrives"),
            Self::LoseAnswer(d) => write!(f, "daemon {d}: the answer is lost"),
            Self::Finish(d) => write!(f, "daemon {d}: ends its commit"),
            Self::Grow(ms) => write!(f, "time: the ids are {ms} ms old"),
            Self::Delete => write!(f, "service: the slot is deleted"),
        }
    }
}
