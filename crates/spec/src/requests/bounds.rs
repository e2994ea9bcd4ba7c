//! What the model of requests includes.

use trefoildyke_decide::coordinate;

/// Names a kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The caller chose the identifier.
    Chosen {
        /// Whether running the request twice does no harm.
        idempotent: bool,
    },
    /// The first daemon issues the identifier.
    Issued,
}

/// Switches single guards off, to show that the model needs them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// The intent is written before the dispatch.
    pub intent: bool,
    /// A record is own only by its nonce.
    pub nonce: bool,
    /// An issued identifier names its issuer.
    pub issuer: bool,
    /// An identifier that is dispatched without a record says so.
    pub mark: bool,
    /// Identifiers are refused by their age.
    pub retention: bool,
    /// The age is checked again when the record is created.
    pub recheck: bool,
    /// An identifier is closed before a second attempt is refused as not run.
    pub closing: bool,
    /// A retry that joins a request makes it a possible second attempt.
    pub join: bool,
    /// A refused request is forgotten, not joined.
    pub forget: bool,
    /// An expired permit is handed back.
    pub expiry: bool,
}

impl Guards {
    /// Has every guard on.
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

/// States the size of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The number of daemons.
    pub daemons: usize,
    /// The most attempts that the caller makes, each at any living daemon.
    pub attempts: u32,
    /// The most daemons that die.
    pub deaths: usize,
    /// The most permits that a second scheduler grants without being asked.
    pub spare_permits: u8,
    /// The most connections to endpoints that fail before anything was sent.
    pub connects: u8,
    /// Whether time passes until records are deleted.
    pub ageing: bool,
    /// The kind of request.
    pub kind: Kind,
    /// Whether the caller marks retries.
    pub marked: bool,
    /// Which requests go on in an outage.
    pub policy: coordinate::OutagePolicy,
    /// The guards.
    pub guards: Guards,
}

impl Bounds {
    /// Creates bounds with every guard and an honest caller that retries once.
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
