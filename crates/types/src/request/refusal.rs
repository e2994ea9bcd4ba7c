//! The typed refusal, the only answer besides a whole one.

use std::fmt;

/// Says what is certain about a refused request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// Nothing ran and nothing of this identifier can run later.
    NotRun,
    /// The request may have run, may be running, or may still run.
    OutcomeUnknown,
    /// The request itself is at fault; nothing ran.
    Invalid,
    /// The account's key is missing or wrong; nothing ran.
    Unauthorized,
    /// The endpoint reported that it failed while running the request.
    Failed,
}

/// Refuses a request, with the remedy and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// What is certain.
    pub kind: RefusalKind,
    /// A stable word for the cause, such as `shed` or `no_such_pool`.
    pub reason: String,
    /// What happened and what the caller can do about it.
    pub remedy: String,
    /// When to come back, in milliseconds; `None` if coming back does not help.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal that names no time to come back.
    pub fn new(kind: RefusalKind, reason: &str, remedy: impl Into<String>) -> Self {
        Self { kind, reason: reason.to_owned(), remedy: remedy.into(), retry_after_ms: None }
    }

    /// Returns the refusal with a time to come back.
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
