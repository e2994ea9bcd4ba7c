//! What can happen to a request at its coordinator.

use trefoildyke_types::{request, time};

/// Holds the two clocks at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Now {
    /// The daemon's monotonic clock.
    pub mono: time::Timestamp,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Holds the outcome of reading a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LookUp {
    /// The record stands.
    Found(request::Record),
    /// No record stands.
    Absent,
    /// The record could not be read.
    Unavailable,
}

/// Holds the outcome of writing a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RecordOutcome {
    /// The record stands as written.
    Created,
    /// Another record stood before.
    Exists(request::Record),
    /// The record may or may not stand, now or later.
    Unsure,
    /// The record was not written and never will be.
    Unavailable,
}

/// Holds one thing that happens to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// The record was read.
    LookedUp(LookUp),
    /// The scheduler granted a permit.
    Permit(request::Permit),
    /// The scheduler granted a permit whose endpoint, as this daemon knows, takes no new work.
    ///
    /// A permit may have been under way for long. Also if this daemon's own knowledge is too old
    /// to say, after a pause or when cut off.
    UnusablePermit(request::Permit),
    /// The scheduler refused: the request is shed.
    Shed(request::Refusal),
    /// The record was written, or not.
    Recorded(RecordOutcome),
    /// The endpoint could not be connected and nothing was sent.
    ConnectFailed,
    /// A piece of an answer came.
    Chunk(request::Chunk),
    /// The endpoint reported that it failed.
    EndpointFailed(request::Refusal),
    /// The stream ended or went silent without its last chunk.
    StreamLost,
    /// The endpoint does not know the stream or cannot be reached any more.
    ResumeFailed,
    /// The coordinator that is followed is gone or does not know the request.
    AttachFailed,
    /// The coordinator that is followed refused the request.
    Refused(request::Refusal),
    /// The deadline passed.
    DeadlinePassed,
    /// The caller's connection ended.
    CallerGone,
    /// The daemon is being stopped.
    Stop,
    /// The daemon reaches neither the key-value service nor any peer.
    Isolated,
    /// The endpoint of the permit that is held takes no new work any more.
    EndpointLeaving,
    /// The daemon was paused; what it knew of its surroundings may be old.
    Paused,
}
