//! The bounds of the model of requests.

use trefoildyke_decide::coordinate;

/// The kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The caller chose the request id.
    Chosen {
        /// Whether the request may safely run twice.
        idempotent: bool,
    },
    /// The first daemon issues the request id.
    Issued,
}

/// The guards, each of which can be disabled to show that the model needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// The intent is written before the dispatch.
    pub intent: bool,
    /// A daemon takes a record for its own only if the nonce is its own.
    pub nonce: bool,
    /// An issued request id names its issuer.
    pub issuer: bool,
    /// A request id that is dispatched without a record carries a mark that says so.
    pub mark: bool,
    /// Request ids older than the retention are refused.
    pub retention: bool,
    /// The age is checked again when the record is created.
    pub recheck: bool,
    /// A request id is closed before a second attempt is refused as not run.
    pub closing: bool,
    /// A retry that joins a request marks that request as a possible second attempt.
    pub join: bool,
    /// A refused request is forgotten, so that a retry does not join it.
    pub forget: bool,
    /// An expired permit is returned to the scheduler.
    pub expiry: bool,
}

impl Guards {
    /// Enables every guard.
    pub const ALL: Self = Self {
        intent: true,
        nonce: true,
        issuer: true,
        mark: true,
        retention: true,
        recheck: true,
        closing: true,
        join: true,
        forget: true,
        expiry: true,
    };
}

/// The size of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The number of daemons.
    pub daemons: usize,
    /// The most attempts that the caller makes, each at any living daemon.
    pub attempts: u32,
    /// The most daemons that die.
    pub deaths: usize,
    /// The most unrequested permits that a second scheduler grants.
    pub spare_permits: u8,
    /// The most connections to endpoints that fail before anything was sent.
    pub connects: u8,
    /// Whether time passes, so that records expire and are deleted.
    pub ageing: bool,
    /// The kind of request.
    pub kind: Kind,
    /// Whether the caller marks retries.
    pub marked: bool,
    /// Which requests proceed during an outage of the key-value service.
    pub policy: coordinate::OutagePolicy,
    /// The guards.
    pub guards: Guards,
}

impl Bounds {
    /// Creates bounds with every guard enabled and a caller that retries once and marks the retry.
    pub const fn new(daemons: usize, kind: Kind) -> Self {
        Self {
            daemons,
            attempts: 2,
            deaths: 1,
            spare_permits: 0,
            connects: 0,
            ageing: false,
            kind,
            marked: true,
            policy: coordinate::OutagePolicy::Issued,
            guards: Guards::ALL,
        }
    }
}
