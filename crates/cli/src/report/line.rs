//! Log lines that a report reads.

use std::borrow;

/// The fields that a report needs of one log line.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Line<'a> {
    /// A request was sent to an endpoint.
    Sent(#[serde(borrow)] Sent<'a>),
    /// A request has ended.
    Ended(#[serde(borrow)] Box<Ended<'a>>),
}

/// The send of a request to an endpoint.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
pub struct Sent<'a> {
    /// The wall clock of the host, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The identifier of the request.
    #[serde(borrow)]
    pub id: borrow::Cow<'a, str>,
    /// The time in the queue before the send, in milliseconds.
    pub waited_ms: u64,
    /// The predicted time from the send to the first event, in milliseconds.
    pub first_ms: u64,
}

/// The end of a request.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
pub struct Ended<'a> {
    /// The wall clock of the host, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The identifier of the request.
    #[serde(borrow)]
    pub id: borrow::Cow<'a, str>,
    /// The route of the request.
    #[serde(borrow)]
    pub route: borrow::Cow<'a, str>,
    /// The rank of the request, if known.
    pub rank: Option<u8>,
    /// The number of prompt tokens.
    pub prompt: u32,
    /// The expected number of tokens of the answer.
    pub expected: u32,
    /// Whether the request is a retry after a refusal.
    #[serde(default)]
    pub returning: bool,
    /// The objective for the time to the first event, in milliseconds; 0 if unknown.
    #[serde(default)]
    pub objective_ms: u64,
    /// The outcome of the request.
    #[serde(borrow)]
    pub outcome: borrow::Cow<'a, str>,
    /// The endpoint that served the request.
    #[serde(borrow)]
    pub endpoint: Option<borrow::Cow<'a, str>>,
    /// The total duration, in milliseconds.
    pub total_ms: u64,
    /// The time to the first byte, in milliseconds.
    pub first_ms: Option<u64>,
    /// The retry delay sent to the caller, in milliseconds.
    pub retry_ms: Option<u64>,
    /// The number of events forwarded to the caller.
    #[serde(default)]
    pub events: u32,
}

impl<'a> Line<'a> {
    /// Parses a line, skipping any text before the first brace, such as the prefix of a log collector.
    ///
    /// Returns `None` for a line that is neither a send nor an end of a request.
    pub fn parse(line: &'a str) -> Option<Self> {
        let start = line.find('{')?;
        serde_json::from_str(line[start..].trim_end()).ok()
    }
}
