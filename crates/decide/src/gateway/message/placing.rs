//! Requests to another daemon for a slot at an endpoint.

use std::time;

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

/// Asks for a slot at an endpoint, or reports that a request still waits for one.
///
/// All times are in milliseconds from now, because the clocks of the hosts differ.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Ask {
    /// The service.
    pub service: id::PoolName,
    /// The number of the request, unique for the sender; the same each time the sender asks again.
    pub number: u64,
    rank: u8,
    route: u32,
    zone: id::ZoneName,
    prompt: u32,
    parts: Vec<gateway::PromptPart>,
    expected: f32,
    gap_ms: u32,
    objective_ms: u32,
    leaves_ms: u32,
    deadline_ms: u32,
    returning: bool,
    repeatable: bool,
    tried: Vec<id::EndpointName>,
    version: Option<id::VersionName>,
}

/// The reply to an [`Ask`].
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Placed {
    /// The service.
    pub service: id::PoolName,
    /// The number of the request.
    pub number: u64,
    /// The reply.
    pub reply: PlaceReply,
}

/// The result of an [`Ask`].
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum PlaceReply {
    /// The request was granted a slot.
    Granted {
        /// The endpoint.
        endpoint: id::EndpointName,
        /// The number of slots that the sender has granted to the receiver so far.
        given: u64,
        /// The number of prompt tokens that the endpoint is assumed to process for the request.
        unread: u32,
        /// The predicted time to the first event, in milliseconds.
        first_ms: u32,
        /// The estimated number of requests that already run at the endpoint.
        beside: u32,
        /// The estimated number of prompt tokens that the endpoint processes before this request.
        ahead: u32,
        /// The age of the oldest report behind that estimate, in milliseconds.
        age_ms: u32,
    },
    /// The request is queued.
    Queued {
        /// The time in milliseconds after which the caller should retry if the request gets no
        /// slot.
        retry_ms: u32,
    },
    /// The request would wait too long.
    Refused {
        /// The time in milliseconds after which the caller should come back.
        retry_ms: u32,
    },
    /// The sender of the reply cannot place requests of this service.
    Unable,
}

impl Ask {
    /// Creates a message that asks for a slot for a request of `service`.
    pub fn new(
        service: id::PoolName,
        number: u64,
        now: Timestamp,
        request: &gateway::PoolRequest,
    ) -> Self {
        let until = |moment: Timestamp| ms(moment.since(now));
        Self {
            service,
            number,
            rank: request.rank,
            route: request.route,
            zone: request.zone.clone(),
            prompt: request.prompt,
            parts: request.parts.clone(),
            expected: request.expected_tokens as f32,
            gap_ms: ms(request.max_pause),
            objective_ms: until(request.objective),
            leaves_ms: until(request.leaves_at),
            deadline_ms: until(request.deadline),
            returning: request.returning,
            repeatable: request.repeatable,
            tried: request.tried.clone(),
            version: request.version.clone(),
        }
    }

    /// Returns the request to the pool, with times by the clock of the receiver.
    pub fn pool_request(&self, now: Timestamp) -> gateway::PoolRequest {
        let after = |ms: u32| now + time::Duration::from_millis(u64::from(ms));
        gateway::PoolRequest {
            rank: self.rank,
            route: self.route,
            zone: self.zone.clone(),
            prompt: self.prompt,
            parts: self.parts.clone(),
            expected_tokens: f64::from(self.expected),
            max_pause: time::Duration::from_millis(u64::from(self.gap_ms)),
            objective: after(self.objective_ms),
            leaves_at: after(self.leaves_ms),
            deadline: after(self.deadline_ms),
            returning: self.returning,
            repeatable: self.repeatable,
            tried: self.tried.clone(),
            version: self.version.clone(),
        }
    }
}

fn ms(length: time::Duration) -> u32 {
    u32::try_from(length.as_millis()).unwrap_or(u32::MAX)
}
