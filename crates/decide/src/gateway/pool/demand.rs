//! What a request asks of a pool, and what it gets.

use std::time;

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

/// Describes a request to a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The rank; 0 is served first.
    pub rank: u8,
    /// Stands for the route.
    pub route: u32,
    /// The availability zone of the daemon that has the request.
    pub zone: id::ZoneName,
    /// The length of the prompt in tokens; 0 where no model is asked.
    pub prompt: u32,
    /// The parts of the prompt that others may begin with as well, in order.
    pub parts: Vec<gateway::PromptPart>,
    /// The expected length of the answer in tokens.
    pub expected: f64,
    /// The longest pause that callers of such streams don't notice; zero where there is no stream.
    pub gap: time::Duration,
    /// Until when the first event is of full use.
    pub objective: Timestamp,
    /// When the caller leaves if nothing has come.
    pub leaves: Timestamp,
    /// When an answer that is not complete is of no use any more.
    pub deadline: Timestamp,
    /// Whether the caller was refused before and will not come back once more.
    pub returning: bool,
    /// Whether the request may run again after a failure.
    pub repeatable: bool,
    /// Endpoints at which the request has been already.
    pub tried: Vec<id::EndpointName>,
}

impl Demand {
    /// Returns how long the request may wait.
    pub fn patience(&self, now: Timestamp) -> time::Duration {
        self.leaves.since(now)
    }
}

/// Names a waiting request of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// Gives a request a slot at an endpoint; ended by [`super::Pool::end`], once.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// Which start of the endpoint; what becomes of the request says nothing of later ones.
    pub start: u64,
    /// Stands for the request's route.
    pub route: u32,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// The prompt's tokens that the endpoint is assumed not to have kept.
    pub prompt: u32,
    /// When the slot was given.
    pub at: Timestamp,
    /// The predicted time to the first event, in milliseconds.
    pub first_ms: u32,
    /// How many requests are believed to run there already, over all daemons.
    pub beside: u32,
    /// How many prompt tokens are believed to be read there before, over all daemons.
    pub ahead: u32,
    /// How old the oldest digest behind that number is, in milliseconds.
    pub age_ms: u32,
}

/// Tells a caller to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// After how long.
    pub retry_after: time::Duration,
}

/// Says what becomes of a new request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It may be sent now.
    Granted(Grant),
    /// It waits under this ticket.
    Queued(Ticket),
    /// It would wait too long.
    Refused(Refused),
}

/// Says what has become of a request that waited.
#[derive(Clone, Debug, PartialEq)]
pub enum Settled {
    /// It may be sent now.
    Granted(Grant),
    /// It is late, and would wait too long.
    Refused(Refused),
}

/// Says how a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With an answer of the endpoint.
    Served,
    /// With a failure that the endpoint answered.
    Failed,
    /// With a rejection: the endpoint has no room.
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
