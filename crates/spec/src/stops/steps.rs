//! The steps of the model of planned stops.

use std::fmt;

/// A step of the model; daemons are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The operator's stop is accepted.
    Accept,
    /// The stop comes into force on a daemon.
    Adopt(usize),
    /// A daemon is cut off from the service and all peers.
    Cut(usize),
    /// The bound passes.
    Bound,
    /// A request arrives at a daemon.
    Arrive(usize),
    /// A permit for the endpoint arrives.
    Permit(usize),
    /// The answer to the write of the intent arrives.
    Written(usize),
    /// The endpoint finishes a daemon's request.
    End(usize),
    /// A daemon dies.
    Die(usize),
    /// A daemon reports the configuration version up to which all stops have settled.
    Report(usize),
    /// The status of the stop becomes stopped, and the operator removes the endpoint.
    Stopped,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accept => write!(f, "operator: the planned stop is accepted"),
            Self::Adopt(d) => write!(f, "daemon {d}: the stop is in force"),
            Self::Cut(d) => write!(f, "daemon {d}: is cut off from the service and all peers"),
            Self::Bound => write!(f, "time: the bound has passed"),
            Self::Arrive(d) => write!(f, "daemon {d}: takes a request"),
            Self::Permit(d) => write!(f, "daemon {d}: a permit for the endpoint arrives"),
            Self::Written(d) => write!(f, "daemon {d}: the intent is recorded"),
            Self::End(d) => write!(f, "endpoint: ends daemon {d}'s request"),
            Self::Die(d) => write!(f, "daemon {d}: dies"),
            Self::Report(d) => write!(f, "daemon {d}: reports how far stops have settled"),
            Self::Stopped => {
                write!(f, "operator: sees the status stopped, takes the endpoint away")
            }
        }
    }
}
