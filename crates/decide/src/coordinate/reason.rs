//! The reasons for which the coordinator refuses a request, and their remedies.

use trefoildyke_types::request;

/// The retry delay for reasons that concern only this daemon or this attempt, in milliseconds.
const SHORT_RETRY_MS: u64 = 200;
/// The retry delay during an outage of the key-value service, in milliseconds.
const OUTAGE_RETRY_MS: u64 = 1_000;

/// A reason for which the coordinator refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// A non-idempotent request has no identifier.
    IdRequired,
    /// The identifier is already used for a request with another body.
    IdReused,
    /// The identifier's creation time is in the future.
    IdFromFuture,
    /// The identifier is older than the retention of records.
    IdTooOld,
    /// The identifier was closed by a refusal.
    IdClosed,
    /// The record that is required before a dispatch cannot be written.
    RecordUnavailable,
    /// It cannot be determined whether the request was dispatched before.
    NoProof,
    /// The daemon can reach neither the key-value service nor any peer.
    Isolated,
    /// The daemon is being stopped.
    Stopping,
    /// The deadline passed.
    Deadline,
    /// The answer can no longer be received.
    AnswerLost,
    /// The answer was cancelled at the endpoint.
    Cancelled,
}

impl Reason {
    /// Returns the stable, machine-readable reason code.
    pub const fn word(self) -> &'static str {
        match self {
            Self::IdRequired => "id_required",
            Self::IdReused => "id_reused",
            Self::IdFromFuture => "id_from_future",
            Self::IdTooOld => "id_too_old",
            Self::IdClosed => "id_closed",
            Self::RecordUnavailable => "record_unavailable",
            Self::NoProof => "no_proof",
            Self::Isolated => "isolated",
            Self::Stopping => "stopping",
            Self::Deadline => "deadline",
            Self::AnswerLost => "answer_lost",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns the remedy that the refusal suggests to the caller.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::IdRequired => {
                "a non-idempotent request needs the caller's own id: send a fresh UUIDv7"
            }
            Self::IdReused => "this id stands for another body: send this body under a fresh id",
            Self::IdFromFuture => "the id's time lies ahead: correct the clock and send a fresh id",
            Self::IdTooOld => {
                "the id is older than records are kept: find out by other means whether it ran, \
                 then send a fresh id"
            }
            Self::IdClosed => "an earlier attempt was refused and closed the id: send a fresh id",
            Self::RecordUnavailable => {
                "the key-value service is down, so no dispatch can be recorded: come back later, or \
                 send an idempotent request without an id to have one issued"
            }
            Self::NoProof => {
                "the key-value service is down, so an earlier dispatch cannot be ruled out: come \
                 back later with the same id"
            }
            Self::Isolated => "this daemon is cut off: send the request to another host",
            Self::Stopping => "this daemon is being stopped: send the request to another host",
            Self::Deadline => "the deadline passed: allow more time or send less at once",
            Self::AnswerLost => {
                "the request was dispatched but its answer cannot be reached: find out by other \
                 means whether it ran"
            }
            Self::Cancelled => "the answer was cancelled at the endpoint: send a fresh id",
        }
    }

    /// Returns a refusal of the given kind for this reason.
    pub fn refuse(self, kind: request::RefusalKind) -> request::Refusal {
        let refusal = request::Refusal::new(kind, self.word(), self.remedy());
        match self {
            Self::RecordUnavailable | Self::NoProof => refusal.retry_after(OUTAGE_RETRY_MS),
            Self::Isolated | Self::Stopping | Self::Deadline => refusal.retry_after(SHORT_RETRY_MS),
            _ => refusal,
        }
    }

    /// Returns the refusal which states that the request did not run.
    pub fn not_run(self) -> request::Refusal {
        self.refuse(request::RefusalKind::NotRun)
    }

    /// Returns the refusal which states that the outcome of the request is unknown.
    pub fn unknown(self) -> request::Refusal {
        self.refuse(request::RefusalKind::OutcomeUnknown)
    }

    /// Returns the refusal which states that the request itself is invalid.
    pub fn invalid(self) -> request::Refusal {
        self.refuse(request::RefusalKind::Invalid)
    }
}
