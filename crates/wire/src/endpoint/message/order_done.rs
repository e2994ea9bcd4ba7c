//! The answer to an order that was carried out.

/// Says how an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// It was carried out.
    Done,
}

/// Answers an order that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderDone {
    /// The order's name.
    pub order: String,
    /// How it ended.
    pub result: OrderResult,
}
