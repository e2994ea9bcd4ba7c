//! The final outcome of an order.

/// The final outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The engine carried out the order.
    Done,
    /// The engine refused the order for the given reason.
    Failed(String),
}
