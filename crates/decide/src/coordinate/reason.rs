//! Why the coordinator refuses, and the remedy.

use trefoildyke_types::request;

const SOON_MS: u64 = 200;
const OUTAGE_MS: u64 = 1_000;

/// Names a cause for which the coordinator refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// A non-idempotent request came without an identifier.
    IdRequired,
    /// The identifier stands for a request with another body.
    IdReused,
    /// The identifier's time lies ahead.
    IdFromFuture,
    /// The identifier is older than the retention of records.
    IdTooOld,
    /// The identifier was closed by a refusal.
    IdClosed,
    /// The record that must precede a dispatch cannot be written.
    RecordUnavailable,
    /// Whether the request was dispatched before cannot be found out.
    NoProof,
    /// The daemon reaches neither the key-value service nor any peer.
    Isolated,
    /// The daemon is being stopped.
    Stopping,
    /// The deadline passed.
    Deadline,
    /// The answer cannot be followed any more.
    AnswerLost,
    /// The answer was cancelled at the endpoint.
    Cancelled,
}

impl Reason {
    /// Returns the stable word for programs.
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

    /// Returns what the caller can do about it.
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

    /// Returns the refusal of the given kind for this cause.
    pub fn refuse(self, kind: request::RefusalKind) -> request::Refusal {
        let refusal = request::Refusal::new(kind, self.word(), self.remedy());
        match self {
            Self::RecordUnavailable | Self::NoProof => refusal.retry_after(OUTAGE_MS),
            Self::Isolated | Self::Stopping | Self::Deadline => refusal.retry_after(SOON_MS),
            _ => refusal,
        }
    }

    /// Returns the refusal that says that nothing ran.
    pub fn not_run(self) -> request::Refusal {
        self.refuse(request::RefusalKind::NotRun)
    }

    /// Returns the refusal that says that the outcome is unknown.
    pub fn unknown(self) -> request::Refusal {
        self.refuse(request::RefusalKind::OutcomeUnknown)
    }

    /// Returns the refusal that says that the request itself is at fault.
    pub fn invalid(self) -> request::Refusal {
        self.refuse(request::RefusalKind::Invalid)
    }
}
