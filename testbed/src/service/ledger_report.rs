//! What the stand-in has done, for tests.

use std::collections;

/// Answers `GET /v1/ledger`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerReport {
    /// How often each request was started, by `ACCOUNT/ID`.
    pub starts: collections::BTreeMap<String, u32>,
}
