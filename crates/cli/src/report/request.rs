//! Requests, put together from their lines.

use std::collections;

use crate::report::line;

/// Holds one attempt of a caller from its arrival to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// When it came, in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    /// Its route.
    pub route: String,
    /// Its rank, if it was known.
    pub rank: Option<u8>,
    /// Prompt tokens, and expected tokens of the answer.
    pub size: u32,
    /// Expected tokens of the answer.
    pub expected: u32,
    /// Whether its caller was refused before.
    pub returning: bool,
    /// How it ended.
    pub fate: Fate,
    /// Why it was refused or failed: the outcome of its last line.
    pub outcome: String,
    /// Where it was served.
    pub endpoint: Option<String>,
    /// How long the answer took after its first byte, in milliseconds.
    pub answer_ms: u64,
    /// Events that were passed on.
    pub events: u32,
    /// The first send, if there was one.
    pub placed: Option<Placed>,
    /// After how many milliseconds the caller was asked to come back.
    pub retry_ms: Option<u64>,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
}

/// Says what became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Answered within its objective.
    InTime,
    /// Answered after it.
    Late,
    /// Refused with a time to come back.
    Refused,
    /// Ended in the middle of its answer, or left by its caller.
    Broken,
    /// Answered with a failure.
    Failed,
}

/// Says where a request was sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placed {
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// How long it had waited, in milliseconds.
    pub waited_ms: u64,
    /// The predicted time to the first event, in milliseconds.
    pub predicted_ms: u64,
    /// The observed one, if an event came.
    pub observed_ms: Option<u64>,
}

/// Puts requests together from lines in any order.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    sent: collections::HashMap<String, Placed>,
    ended: Vec<(String, Request)>,
}

impl Requests {
    /// Takes in a line.
    pub fn add(&mut self, line: line::Line<'_>) {
        match line {
            line::Line::Sent(sent) => {
                let placed = Placed {
                    at_ms: sent.at_ms,
                    waited_ms: sent.waited_ms,
                    predicted_ms: sent.first_ms,
                    observed_ms: None,
                };
                let known = self.sent.entry(sent.id.into_owned()).or_insert(placed);
                if placed.at_ms < known.at_ms {
                    *known = placed;
                }
            }
            line::Line::Ended(ended) => self.ended.push((ended.id.to_string(), request(&ended))),
        }
    }

    /// Returns the requests by arrival.
    pub fn finish(mut self) -> Vec<Request> {
        let mut all = Vec::with_capacity(self.ended.len());
        for (id, mut request) in self.ended {
            if let Some(mut placed) = self.sent.remove(&id) {
                let first = request.ended_ms.saturating_sub(request.answer_ms);
                let is_answered = matches!(request.fate, Fate::InTime | Fate::Late);
                placed.observed_ms = is_answered.then(|| first.saturating_sub(placed.at_ms));
                request.placed = Some(placed);
            }
            all.push(request);
        }
        all.sort_by_key(|request| request.arrived_ms);
        all
    }
}

fn request(ended: &line::Ended<'_>) -> Request {
    Request {
        arrived_ms: ended.at_ms.saturating_sub(ended.total_ms),
        route: ended.route.to_string(),
        rank: ended.rank,
        size: ended.prompt.saturating_add(ended.expected),
        expected: ended.expected,
        returning: ended.returning,
        fate: fate(ended),
        outcome: ended.outcome.to_string(),
        endpoint: ended.endpoint.as_ref().map(ToString::to_string),
        answer_ms: ended.total_ms.saturating_sub(ended.first_ms.unwrap_or(ended.total_ms)),
        events: ended.events,
        placed: None,
        retry_ms: ended.retry_ms,
        ended_ms: ended.at_ms,
    }
}

fn fate(ended: &line::Ended<'_>) -> Fate {
    let is_late = ended.returning
        || ended.first_ms.is_some_and(|first| ended.objective_ms > 0 && first > ended.objective_ms);
    match &*ended.outcome {
        "served" if is_late => Fate::Late,
        "served" => Fate::InTime,
        "caller_left" | "stream_broken" | "stream_timeout" => Fate::Broken,
        _ if ended.retry_ms.is_some() => Fate::Refused,
        _ => Fate::Failed,
    }
}
