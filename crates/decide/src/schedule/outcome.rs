//! Outcomes of permitted requests.

/// The way in which a permitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer is complete.
    Whole,
    /// The request was cancelled.
    Cancelled,
    /// The endpoint reported a failure, or could not be reached.
    Failed,
    /// The connection to the endpoint ended before the answer did, and the rest of the answer could
    /// not be fetched.
    Lost,
}
