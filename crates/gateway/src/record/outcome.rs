//! How a request ended.

/// Who ended a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndedBy {
    /// The caller has closed its connection.
    Caller,
    /// An endpoint has answered, or broken off an answer that was being forwarded.
    Endpoint,
    /// The gateway has refused the request, answered in place of an endpoint, or cut the request off.
    Gateway,
    /// The connection to the caller has failed, and neither side was seen to close it.
    Connection,
}

/// How a request ended, and by whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Outcome {
    /// How it ended.
    pub outcome: &'static str,
    /// Who ended it.
    pub ended_by: EndedBy,
}

impl EndedBy {
    /// Returns the name in log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Endpoint => "endpoint",
            Self::Gateway => "gateway",
            Self::Connection => "connection",
        }
    }
}

impl Outcome {
    /// Creates an outcome.
    pub const fn new(outcome: &'static str, ended_by: EndedBy) -> Self {
        Self { outcome, ended_by }
    }
}
