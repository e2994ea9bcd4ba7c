//! The steps of the model of orders.

use std::fmt;

/// A step of the model; daemons are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The clock advances to this time.
    Clock(u64),
    /// A daemon's controller handles a timer tick.
    Tick(usize),
    /// The service handles a daemon's call.
    Serve(usize),
    /// A daemon's call fails.
    Fail(usize),
    /// The service's answer arrives.
    Answer(usize),
    /// A daemon checks the clock for the last time before it writes the order.
    Look(usize),
    /// A daemon writes the order.
    Write(usize),
    /// A daemon finds that the send deadline has passed and does not write the order.
    Refrain(usize),
    /// An order reaches the engine; holds its fencing token.
    Reach(u64),
    /// An order is lost; holds its fencing token.
    Lose(u64),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Clock(now) => write!(f, "clock: it is {now}"),
            Self::Tick(d) => write!(f, "daemon {d}: goes on"),
            Self::Serve(d) => write!(f, "service: serves daemon {d}'s call for the lease"),
            Self::Fail(d) => write!(f, "daemon {d}: its call for the lease fails"),
            Self::Answer(d) => write!(f, "daemon {d}: the service's answer arrives"),
            Self::Look(d) => write!(f, "daemon {d}: looks at the clock before it writes the order"),
            Self::Write(d) => write!(f, "daemon {d}: writes the order"),
            Self::Refrain(d) => write!(f, "daemon {d}: finds it too late to write the order"),
            Self::Reach(fence) => write!(f, "engine: gets the order with token {fence}"),
            Self::Lose(fence) => write!(f, "engine: never gets the order with token {fence}"),
        }
    }
}
