//! The state of the model of requests.

use std::sync;

use trefoildyke_decide::coordinate;
use trefoildyke_types::{id, request};

use crate::{
    invariant::Invariant,
    requests::{Bounds, Kind, Operation},
};

/// When the request id was created, in milliseconds since the Unix epoch.
pub(super) const CREATED_MS: u64 = 1_000_000;
/// How long request ids stay usable in the model, in milliseconds.
pub(super) const RETENTION_MS: u64 = 1_000;

/// The age of the request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Age {
    /// Within the retention.
    Fresh,
    /// Past the retention by the clocks of the daemons with odd numbers only.
    Skewed,
    /// Past the retention by all clocks.
    Old,
    /// So old that the record has been deleted.
    Deleted,
}

/// The final result that the caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    /// The complete answer.
    Answer,
    /// A refusal.
    Refusal(request::RefusalKind),
}

/// The caller, which has at most one attempt open at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Caller {
    /// The request id; `None` before a daemon has issued it.
    pub id: Option<id::RequestId>,
    /// The number of attempts made.
    pub attempts: u32,
    /// The daemon that the caller is connected to, if any.
    pub at: Option<usize>,
    /// The final result; `None` while the caller waits.
    pub told: Option<Told>,
}

/// One daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Daemon {
    /// Whether the daemon is alive.
    pub alive: bool,
    /// The request, if it has arrived at this daemon.
    pub request: Option<coordinate::RequestState>,
    /// The operations in progress.
    pub operations: Vec<Operation>,
}

/// The complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// The age of the request id.
    pub age: Age,
    /// The record in the key-value service.
    pub record: Option<request::Record>,
    /// Writes that their daemons gave up on and that may still take effect.
    pub late_writes: Vec<request::Record>,
    /// Requests in flight to endpoints that their daemons no longer follow.
    pub late_sends: Vec<id::EndpointName>,
    /// The endpoints that started the request, in order.
    pub started: Vec<id::EndpointName>,
    /// The daemons; states in which a daemon is equal share its allocation.
    pub daemons: Vec<sync::Arc<Daemon>>,
    /// The caller.
    pub caller: Caller,
    /// The number of permits that a second scheduler may still grant.
    pub spare_permits: u8,
    /// The number of connections that may still fail.
    pub connects: u8,
    /// The nonce that the next request gets.
    pub nonce: u64,
}

impl World {
    /// Creates the initial state.
    pub fn new(bounds: &Bounds) -> Self {
        let daemon = sync::Arc::new(Daemon { alive: true, request: None, operations: vec![] });
        let id = match bounds.kind {
            Kind::Chosen { .. } => Some(id::RequestId::chosen(uuid())),
            Kind::Issued => None,
        };
        Self {
            age: Age::Fresh,
            record: None,
            late_writes: vec![],
            late_sends: vec![],
            started: vec![],
            daemons: vec![daemon; bounds.daemons],
            caller: Caller { id, attempts: 0, at: None, told: None },
            spare_permits: bounds.spare_permits,
            connects: bounds.connects,
            nonce: 1,
        }
    }

    /// Returns the invariant that the state violates, if any.
    pub fn check(&self, bounds: &Bounds) -> Option<Invariant> {
        let not_run = Some(Told::Refusal(request::RefusalKind::NotRun));
        if self.started.len() > 1 {
            return Some(match bounds.kind {
                Kind::Chosen { idempotent: false } => Invariant::NonIdempotentRunsOnce,
                _ => Invariant::AtMostOnceDispatch,
            });
        }
        if self.caller.told == not_run && !self.started.is_empty() {
            return Some(Invariant::TruthfulRefusal);
        }
        if self.caller.told == Some(Told::Answer) && self.started.is_empty() {
            return Some(Invariant::WholeOwnAnswer);
        }
        None
    }

    /// Returns a mutable reference to a daemon; copies the daemon first if other states share it.
    pub(super) fn daemon(&mut self, daemon: usize) -> &mut Daemon {
        sync::Arc::make_mut(&mut self.daemons[daemon])
    }

    /// Returns the wall clock of a daemon, in milliseconds since the Unix epoch.
    pub(super) fn unix_ms(&self, daemon: usize) -> u64 {
        let old = match self.age {
            Age::Fresh => false,
            Age::Skewed => daemon % 2 == 1,
            Age::Old | Age::Deleted => true,
        };
        if old { CREATED_MS + RETENTION_MS + 1 } else { CREATED_MS }
    }
}

/// Returns the incarnation of a daemon.
pub(super) fn incarnation(daemon: usize) -> id::Incarnation {
    id::Incarnation::from_u64(daemon as u64 + 1)
}

/// Returns the UUID of the only request.
pub(super) fn uuid() -> uuid::Uuid {
    uuid::Builder::from_unix_timestamp_millis(CREATED_MS, &[0; 10]).into_uuid()
}
