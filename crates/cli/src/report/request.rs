//! Requests, assembled from their log lines.

use std::collections;

use crate::report::line;

/// One attempt of a caller, from its arrival to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The arrival time, in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    /// The route of the request.
    pub route: String,
    /// The rank of the request, if known.
    pub rank: Option<u8>,
    /// The sum of prompt tokens and expected tokens of the answer.
    pub size: u32,
    /// Expected tokens of the answer.
    pub expected: u32,
    /// Whether the request is a retry after a refusal.
    pub returning: bool,
    /// The result class of the request.
    pub status: Status,
    /// The outcome in the last log line: the reason why the request was refused or failed.
    pub outcome: String,
    /// The endpoint that served the request.
    pub endpoint: Option<String>,
    /// The duration of the answer after its first byte, in milliseconds.
    pub answer_ms: u64,
    /// The number of events forwarded to the caller.
    pub events: u32,
    /// The first send to an endpoint, if any.
    pub placement: Option<Placement>,
    /// The retry delay sent to the caller, in milliseconds.
    pub retry_ms: Option<u64>,
    /// The end time, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
}

/// The result class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Answered within its objective.
    InTime,
    /// Answered after its objective, or only on a retry.
    Late,
    /// Refused with a retry delay.
    Refused,
    /// Ended in the middle of the answer, or abandoned by the caller.
    Broken,
    /// Answered with a failure.
    Failed,
}

/// The first send of a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The time of the send, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The time in the queue before the send, in milliseconds.
    pub waited_ms: u64,
    /// The predicted time from the send to the first event, in milliseconds.
    pub predicted_ms: u64,
    /// The observed time from the send to the first event, in milliseconds, if the request was answered.
    pub observed_ms: Option<u64>,
}

/// Assembles requests from log lines in any order.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    sent: collections::HashMap<String, Placement>,
    ended: Vec<(String, Request)>,
}

impl Requests {
    /// Adds a log line.
    pub fn add(&mut self, line: line::Line<'_>) {
        match line {
            line::Line::Sent(sent) => {
                let placement = Placement {
                    at_ms: sent.at_ms,
                    waited_ms: sent.waited_ms,
                    predicted_ms: sent.first_ms,
                    observed_ms: None,
                };
                let known = self.sent.entry(sent.id.into_owned()).or_insert(placement);
                if placement.at_ms < known.at_ms {
                    *known = placement;
                }
            }
            line::Line::Ended(ended) => self.ended.push((ended.id.to_string(), request(&ended))),
        }
    }

    /// Returns the requests sorted by arrival time.
    pub fn finish(mut self) -> Vec<Request> {
        let mut all = Vec::with_capacity(self.ended.len());
        for (id, mut request) in self.ended {
            if let Some(mut placement) = self.sent.remove(&id) {
                let first_ms = request.ended_ms.saturating_sub(request.answer_ms);
                let is_answered = matches!(request.status, Status::InTime | Status::Late);
                placement.observed_ms =
                    is_answered.then(|| first_ms.saturating_sub(placement.at_ms));
                request.placement = Some(placement);
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
        status: status(ended),
        outcome: ended.outcome.to_string(),
        endpoint: ended.endpoint.as_ref().map(ToString::to_string),
        answer_ms: ended.total_ms.saturating_sub(ended.first_ms.unwrap_or(ended.total_ms)),
        events: ended.events,
        placement: None,
        retry_ms: ended.retry_ms,
        ended_ms: ended.at_ms,
    }
}

fn status(ended: &line::Ended<'_>) -> Status {
    let is_late = ended.returning
        || ended.first_ms.is_some_and(|first| ended.objective_ms > 0 && first > ended.objective_ms);
    match &*ended.outcome {
        "served" if is_late => Status::Late,
        "served" => Status::InTime,
        "caller_left" | "connection_failed" | "cut_by_stop" | "dropped" | "stream_broken"
        | "stream_timeout" => Status::Broken,
        _ if ended.retry_ms.is_some() => Status::Refused,
        _ => Status::Failed,
    }
}
