//! The answer to an order that was carried out.

/// The result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResult {
    /// The order was carried out.
    Done,
}

/// The answer to an order that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderDone {
    /// The order's name.
    pub order: String,
    /// The order's result.
    pub result: OrderResult,
}
