//! What the stand-in has done, for tests.

use std::collections;

/// Describes an order that the engine carried out.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CarriedOrder {
    /// The order's name.
    pub order: String,
    /// The fencing token that it carried.
    pub fence: u64,
}

/// Answers `GET /v1/ledger`; the words are those of [`crate::model::Ledger`].
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerReport {
    /// How often each request was started, by `ACCOUNT/ID`.
    pub starts: collections::BTreeMap<String, u32>,
    /// Prompt tokens that were processed.
    pub prefilled_tokens: u64,
    /// Prompt tokens that were processed in vain.
    pub wasted_tokens: u64,
    /// Prompt tokens that were taken from the prefix cache.
    pub cached_tokens: u64,
    /// Streams that completed.
    pub completed: u64,
    /// Orders in the order in which they were carried out.
    pub orders: Vec<CarriedOrder>,
}
