//! Typed refusals: a request ends either with a complete answer or with a refusal.

use std::fmt;

/// What is known about the execution of a refused request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// Nothing ran, and no request with this identifier can run later.
    NotRun,
    /// The request may have run, may be running, or may still run.
    OutcomeUnknown,
    /// The request is invalid; nothing ran.
    Invalid,
    /// The account's key is missing or unknown; nothing ran.
    Unauthorized,
    /// The endpoint reported that it failed while running the request.
    Failed,
}

/// The refusal of a request, with a remedy and the time after which a retry makes sense.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// What is known about the execution of the request.
    pub kind: RefusalKind,
    /// A stable machine-readable code for the cause, such as `shed` or `no_such_pool`.
    pub reason: String,
    /// A description of what happened and of what the caller can do about it.
    pub remedy: String,
    /// How long to wait before a retry, in milliseconds; `None` if a retry does not help.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub fn new(kind: RefusalKind, reason: &str, remedy: impl Into<String>) -> Self {
        Self { kind, reason: reason.to_owned(), remedy: remedy.into(), retry_after_ms: None }
    }

    /// Returns the refusal with a retry delay, in milliseconds.
    #[must_use]
    pub fn retry_after(self, millis: u64) -> Self {
        Self { retry_after_ms: Some(millis), ..self }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} ({}): {}", self.kind, self.reason, self.remedy)
    }
}

impl std::error::Error for Refusal {}
