//! Outcomes of permitted requests.

/// The way in which a permitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer is complete.
    Whole,
    /// The request was cancelled.
    Cancelled,
    /// The endpoint failed or was lost.
    Failed,
}
