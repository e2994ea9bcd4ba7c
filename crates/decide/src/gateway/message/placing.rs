//! Asking another daemon for a place.

use std::time;

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

/// Asks for a place, or says that one is still waited for. All times are from now on, in
/// milliseconds, since clocks differ.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Ask {
    /// The service.
    pub service: id::PoolName,
    /// Names the request among those of the sender; the same whenever it asks again.
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
}

/// Replies to [`Ask`].
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Placed {
    /// The service.
    pub service: id::PoolName,
    /// The request's number.
    pub number: u64,
    /// What becomes of it.
    pub reply: PlaceReply,
}

/// Says what becomes of a request for a place.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum PlaceReply {
    /// It has one.
    Granted {
        /// Where.
        endpoint: id::EndpointName,
        /// Counts the places that the sender gave to the receiver.
        given: u64,
        /// How many tokens of the prompt are assumed to be read there.
        unread: u32,
        /// The predicted time to the first event, in milliseconds.
        first_ms: u32,
        /// How many requests are believed to run there already.
        beside: u32,
        /// How many prompt tokens are believed to be read there before.
        ahead: u32,
        /// How old the oldest report behind that number is, in milliseconds.
        age_ms: u32,
    },
    /// It waits.
    Queued {
        /// After how many milliseconds its caller should come back if it waits in vain.
        retry_ms: u32,
    },
    /// It would wait too long.
    Refused {
        /// After how many milliseconds its caller should come back.
        retry_ms: u32,
    },
    /// The sender cannot place requests of this service.
    Unable,
}

impl Ask {
    /// Asks for a place for a request of `service`.
    pub fn new(
        service: id::PoolName,
        number: u64,
        now: Timestamp,
        demand: &gateway::Demand,
    ) -> Self {
        let until = |moment: Timestamp| ms(moment.since(now));
        Self {
            service,
            number,
            rank: demand.rank,
            route: demand.route,
            zone: demand.zone.clone(),
            prompt: demand.prompt,
            parts: demand.parts.clone(),
            expected: demand.expected as f32,
            gap_ms: ms(demand.gap),
            objective_ms: until(demand.objective),
            leaves_ms: until(demand.leaves),
            deadline_ms: until(demand.deadline),
            returning: demand.returning,
            repeatable: demand.repeatable,
            tried: demand.tried.clone(),
        }
    }

    /// Returns what is asked for, by the clock of the receiver.
    pub fn demand(&self, now: Timestamp) -> gateway::Demand {
        let after = |ms: u32| now + time::Duration::from_millis(u64::from(ms));
        gateway::Demand {
            rank: self.rank,
            route: self.route,
            zone: self.zone.clone(),
            prompt: self.prompt,
            parts: self.parts.clone(),
            expected: f64::from(self.expected),
            gap: time::Duration::from_millis(u64::from(self.gap_ms)),
            objective: after(self.objective_ms),
            leaves: after(self.leaves_ms),
            deadline: after(self.deadline_ms),
            returning: self.returning,
            repeatable: self.repeatable,
            tried: self.tried.clone(),
        }
    }
}

fn ms(length: time::Duration) -> u32 {
    u32::try_from(length.as_millis()).unwrap_or(u32::MAX)
}
