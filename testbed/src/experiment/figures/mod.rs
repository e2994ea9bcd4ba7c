//! Figures of a run and their spread over seeds.

mod fairness;
mod histogram;
mod idle;
mod inversions;
mod percentiles;
mod prefill;
mod run_figures;
mod spread;
mod tier_figures;

pub use fairness::{AccountFigures, fairness};
pub use histogram::histogram;
pub use idle::idle_share;
pub use inversions::Inversions;
pub use percentiles::Percentiles;
pub use prefill::Prefill;
pub use run_figures::RunFigures;
pub use spread::Spread;
pub use tier_figures::TierFigures;
