//! The steps of the model of requests.

use std::fmt;

/// A step of the model; daemons and operations are given by their index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The caller sends the request, for the first time or again.
    Send {
        /// The daemon that the request reaches.
        daemon: usize,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// Whether the daemon believes that records can be written.
        up: bool,
    },
    /// The caller's connection breaks.
    Leave,
    /// A permit arrives.
    Permit(usize, &'static str),
    /// An unrequested permit of a second scheduler arrives.
    SparePermit(usize, &'static str),
    /// The scheduler sheds the request.
    Shed(usize),
    /// The service applies a write.
    Apply(usize),
    /// A write is refused and never takes effect.
    RefuseWrite(usize),
    /// The daemon gives up waiting for a write, which may still take effect.
    LoseWrite(usize),
    /// The answer to a write arrives; the permit may have expired.
    Written(usize, bool),
    /// The answer to a write is lost.
    LoseWritten(usize),
    /// A write that its daemon gave up on takes effect.
    LateWrite(usize),
    /// The service reads the record.
    Read(usize),
    /// A read fails.
    FailRead(usize),
    /// The answer to a read arrives; the permit may have expired.
    Reading(usize, bool),
    /// The endpoint starts the request.
    Start(usize),
    /// The connection to the endpoint fails before anything is sent.
    FailConnect(usize),
    /// A request that its daemon no longer follows starts at an endpoint.
    LateStart,
    /// The complete answer arrives.
    Answer(usize),
    /// The connection to the endpoint is lost.
    LoseStream(usize),
    /// The endpoint resumes the stream, and the complete answer arrives.
    Resume(usize),
    /// The stream cannot be resumed.
    FailResume(usize),
    /// The coordinator tells its follower how the request ended.
    Follow(usize),
    /// The coordinator cannot be reached or does not know the request.
    FailAttach(usize),
    /// The deadline passes.
    Deadline(usize),
    /// The daemon notices that the caller has disconnected.
    CallerGone(usize),
    /// The daemon dies.
    Die(usize),
    /// Time passes, and the request id reaches its next age.
    Grow,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send { daemon, attempt, up } => {
                let state = if *up { "up" } else { "down" };
                write!(
                    f,
                    "caller: attempt {attempt} at daemon {daemon}, which believes the service is {state}"
                )
            }
            Self::Leave => write!(f, "caller: the connection breaks"),
            Self::Permit(d, e) => write!(f, "daemon {d}: a permit for {e} arrives"),
            Self::SparePermit(d, e) => {
                write!(f, "daemon {d}: a second scheduler's permit for {e} arrives")
            }
            Self::Shed(d) => write!(f, "daemon {d}: the scheduler sheds the request"),
            Self::Apply(d) => write!(f, "service: takes daemon {d}'s write"),
            Self::RefuseWrite(d) => write!(f, "daemon {d}: its write is refused"),
            Self::LoseWrite(d) => {
                write!(f, "daemon {d}: gives up on its write, which is still under way")
            }
            Self::Written(d, false) => write!(f, "daemon {d}: the answer to its write arrives"),
            Self::Written(d, true) => {
                write!(f, "daemon {d}: the answer to its write arrives after the permit's end")
            }
            Self::LoseWritten(d) => write!(f, "daemon {d}: the answer to its write is lost"),
            Self::LateWrite(_) => write!(f, "service: takes a write that was given up on"),
            Self::Read(d) => write!(f, "service: reads for daemon {d}"),
            Self::FailRead(d) => write!(f, "daemon {d}: its read fails"),
            Self::Reading(d, false) => write!(f, "daemon {d}: the answer to its read arrives"),
            Self::Reading(d, true) => {
                write!(f, "daemon {d}: the answer to its read arrives after the permit's end")
            }
            Self::Start(d) => write!(f, "endpoint: starts what daemon {d} sent"),
            Self::FailConnect(d) => write!(f, "daemon {d}: fails to connect; nothing is sent"),
            Self::LateStart => write!(f, "endpoint: starts what its daemon no longer follows"),
            Self::Answer(d) => write!(f, "daemon {d}: the whole answer arrives"),
            Self::LoseStream(d) => write!(f, "daemon {d}: loses the connection to the endpoint"),
            Self::Resume(d) => write!(f, "daemon {d}: resumes and gets the whole answer"),
            Self::FailResume(d) => write!(f, "daemon {d}: cannot resume"),
            Self::Follow(d) => {
                write!(f, "daemon {d}: learns from the coordinator how the request ended")
            }
            Self::FailAttach(d) => write!(f, "daemon {d}: cannot follow the coordinator"),
            Self::Deadline(d) => write!(f, "daemon {d}: the deadline passes"),
            Self::CallerGone(d) => write!(f, "daemon {d}: notices that the caller is gone"),
            Self::Die(d) => write!(f, "daemon {d}: dies"),
            Self::Grow => write!(f, "time: the id grows older"),
        }
    }
}
