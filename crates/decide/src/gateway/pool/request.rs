//! The requests to a pool, and its decisions on them.

use std::time;

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

/// A request to a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolRequest {
    /// The rank; 0 is served first.
    pub rank: u8,
    /// The identifier of the route.
    pub route: u32,
    /// The availability zone of the daemon that has the request.
    pub zone: id::ZoneName,
    /// The length of the prompt in tokens; 0 if the service runs no model.
    pub prompt: u32,
    /// The parts at the beginning of the prompt that other prompts may share, in order.
    pub parts: Vec<gateway::PromptPart>,
    /// The expected length of the answer in tokens.
    pub expected_tokens: f64,
    /// The longest pause between two events of a stream that callers do not notice; zero if the answer is not
    /// a stream.
    pub max_pause: time::Duration,
    /// The time by which the first event should arrive.
    pub objective: Timestamp,
    /// When the caller leaves if nothing has arrived.
    pub leaves_at: Timestamp,
    /// The time after which an incomplete answer is useless.
    pub deadline: Timestamp,
    /// Whether the caller was refused before and will not retry again.
    pub returning: bool,
    /// Whether the request may be repeated after a failure.
    pub repeatable: bool,
    /// The endpoints to which the request was sent before.
    pub tried: Vec<id::EndpointName>,
    /// The version that began the request's stream, the only one at which it may go on; `None` if it may go
    /// to any version.
    pub version: Option<id::VersionName>,
}

impl PoolRequest {
    /// Returns how long the request may wait.
    pub fn patience(&self, now: Timestamp) -> time::Duration {
        self.leaves_at.since(now)
    }

    /// Returns whether the request may go to endpoints of `version`.
    pub(super) fn fits(&self, version: &id::VersionName) -> bool {
        self.version.as_ref().is_none_or(|only| only == version)
    }
}

/// The identifier of a waiting request of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// A request's slot at an endpoint. Each grant must be ended once by [`super::Pool::end_request`].
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// Which start of the endpoint; the outcome of the request says nothing about later ones.
    pub start: u64,
    /// The version of the endpoint's software.
    pub version: id::VersionName,
    /// The identifier of the request's route.
    pub route: u32,
    /// The endpoint's listening address.
    pub address: std::net::SocketAddr,
    /// The number of prompt tokens that the endpoint is assumed not to have cached.
    pub prompt: u32,
    /// When the slot was granted.
    pub at: Timestamp,
    /// The predicted time to the first event, in milliseconds.
    pub first_ms: u32,
    /// The estimated number of requests that already run at the endpoint, over all daemons.
    pub running: u32,
    /// The estimated number of prompt tokens that the endpoint reads before this prompt, over all daemons.
    pub queued_tokens: u32,
    /// The age of the oldest load report behind these estimates, in milliseconds.
    pub age_ms: u32,
}

/// A refusal that asks the caller to retry later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// How long the caller should wait before it retries.
    pub retry_after: time::Duration,
}

/// The decision on a new request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It may be sent now.
    Granted(Grant),
    /// It waits under this ticket.
    Queued(Ticket),
    /// It would wait too long.
    Refused(Refused),
}

/// The decision on a request that waited.
#[derive(Clone, Debug, PartialEq)]
pub enum QueueDecision {
    /// It may be sent now.
    Granted(Grant),
    /// It is late and would wait too long.
    Refused(Refused),
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer of the endpoint.
    Served,
    /// With an answer of the endpoint that reports a failure.
    Failed,
    /// With a rejection: the endpoint has no free capacity.
    Rejected,
    /// With a broken connection or a broken answer.
    Lost,
    /// No connection could be opened.
    Unreachable,
    /// The caller left, or the time was up.
    Cancelled,
    /// Nothing was sent.
    Unused,
}
