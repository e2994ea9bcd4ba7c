//! The log lines that a report is made of.

use std::borrow;

/// Holds what a report needs of one log line.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Line<'a> {
    /// A request was sent to an endpoint.
    Sent(#[serde(borrow)] Sent<'a>),
    /// A request has ended.
    Ended(#[serde(borrow)] Box<Ended<'a>>),
}

/// Says where a request was sent.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
pub struct Sent<'a> {
    /// The host's wall clock in milliseconds.
    pub at_ms: u64,
    /// The request.
    #[serde(borrow)]
    pub id: borrow::Cow<'a, str>,
    /// How long it waited for the place, in milliseconds.
    pub waited_ms: u64,
    /// The predicted time from then on to the first event, in milliseconds.
    pub first_ms: u64,
}

/// Says how a request ended.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
pub struct Ended<'a> {
    /// The host's wall clock in milliseconds.
    pub at_ms: u64,
    /// The request.
    #[serde(borrow)]
    pub id: borrow::Cow<'a, str>,
    /// Its route.
    #[serde(borrow)]
    pub route: borrow::Cow<'a, str>,
    /// Its rank, if it was known.
    pub rank: Option<u8>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected tokens of the answer.
    pub expected: u32,
    /// Whether its caller was refused before.
    #[serde(default)]
    pub returning: bool,
    /// Within how many milliseconds its first event is of full use; 0 if that is not known.
    #[serde(default)]
    pub objective_ms: u64,
    /// How it ended.
    #[serde(borrow)]
    pub outcome: borrow::Cow<'a, str>,
    /// Where it was served.
    #[serde(borrow)]
    pub endpoint: Option<borrow::Cow<'a, str>>,
    /// How long it took, in milliseconds.
    pub total_ms: u64,
    /// How long it took to the first byte, in milliseconds.
    pub first_ms: Option<u64>,
    /// After how many milliseconds the caller was asked to come back.
    pub retry_ms: Option<u64>,
    /// Events that were passed on.
    #[serde(default)]
    pub events: u32,
}

impl<'a> Line<'a> {
    /// Reads a line; text before the first brace, such as a collector's prefix, is passed over.
    ///
    /// Returns `None` for a line that tells nothing of a request's place or end.
    pub fn parse(line: &'a str) -> Option<Self> {
        let start = line.find('{')?;
        serde_json::from_str(line[start..].trim_end()).ok()
    }
}
