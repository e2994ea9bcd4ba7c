//! The steps of the model of commits.

use std::fmt;

/// Names one step; daemons are given by their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A daemon sends a read or a write.
    Ask(usize),
    /// The service serves it.
    Serve(usize),
    /// It is refused and changes nothing.
    Refuse(usize),
    /// A write is given up on and may yet take effect.
    Lose(usize),
    /// A write that was given up on reaches the service.
    Late,
    /// The service's answer arrives.
    Answer(usize),
    /// The service's answer is lost.
    LoseAnswer(usize),
    /// A daemon ends its commit, done or not.
    Finish(usize),
    /// Time passes.
    Grow(u64),
    /// A daemon whose clock is right deletes the slot.
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
