//! Prompt processing.

use crate::model;

/// Holds what became of prompt processing; the engine model's ledger defines the words.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefill {
    /// Prompt tokens that were processed.
    pub prefilled: u64,
    /// Prompt tokens that were taken from a prefix cache.
    pub cached: u64,
    /// Prompt tokens processed in vain or again.
    pub wasted: u64,
    /// `wasted` as a share of `prefilled`; 0 if nothing was processed.
    pub share: f64,
}

impl Prefill {
    /// Takes the figures from the engines' totals.
    pub fn of(totals: &model::Totals) -> Self {
        let share = totals.wasted as f64 / totals.prefilled.max(1) as f64;
        Self { prefilled: totals.prefilled, cached: totals.cached, wasted: totals.wasted, share }
    }
}
