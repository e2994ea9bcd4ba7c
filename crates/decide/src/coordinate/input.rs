//! The events that a coordinator handles for a request.

use trefoildyke_types::{request, time};

/// The readings of the monotonic clock and the wall clock at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Now {
    /// The time on the daemon's monotonic clock.
    pub monotonic: time::Timestamp,
    /// The wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// The outcome of reading a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReadOutcome {
    /// The record exists.
    Found(request::Record),
    /// No record exists.
    Absent,
    /// The record could not be read.
    Unavailable,
}

/// The outcome of writing a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The record was created and exists as written.
    Created,
    /// Another record already existed.
    Exists(request::Record),
    /// It is unknown whether the record exists now or will exist later.
    Unsure,
    /// The record was not written, and this write will never take effect.
    Unavailable,
}

/// An event for a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// The attempt to read the record ended.
    LookedUp(ReadOutcome),
    /// The scheduler granted a permit.
    Permit(request::Permit),
    /// The scheduler granted a permit that must not be used.
    ///
    /// Either this daemon knows that the endpoint accepts no new work, which happens if the permit was
    /// delayed on its way; or this daemon's own information is out of date, after a pause or while it
    /// is isolated.
    UnusablePermit(request::Permit),
    /// The scheduler shed the request.
    Shed(request::Refusal),
    /// The attempt to write the record ended.
    Recorded(WriteOutcome),
    /// The connection to the endpoint could not be opened, and nothing was sent.
    ConnectFailed,
    /// A chunk of an answer arrived.
    Chunk(request::Chunk),
    /// The endpoint reported that it failed.
    EndpointFailed(request::Refusal),
    /// The stream ended or stalled before its last chunk.
    StreamLost,
    /// The endpoint does not know the stream or can no longer be reached.
    ResumeFailed,
    /// The coordinator that is followed has stopped or does not know the request.
    AttachFailed,
    /// The coordinator that is followed refused the request.
    Refused(request::Refusal),
    /// The deadline passed.
    DeadlinePassed,
    /// The caller closed its connection.
    CallerGone,
    /// The daemon is being stopped.
    Stop,
    /// The daemon can reach neither the key-value service nor any peer.
    Isolated,
    /// The endpoint of the held permit no longer accepts new work.
    EndpointLeaving,
    /// The daemon was paused, so its information about its surroundings may be out of date.
    Paused,
}
