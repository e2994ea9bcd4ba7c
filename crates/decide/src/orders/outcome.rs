//! How an order ended.

/// Says how an order ended for good.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The engine carried it out.
    Done,
    /// The engine refused it, for the reason given.
    Failed(String),
}
