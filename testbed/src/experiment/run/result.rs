//! What one run gives.

use crate::{
    experiment::{policy, run},
    model,
};

/// Holds what one run gives, for working out the figures.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// What became of each request, by position.
    pub records: Vec<run::Record>,
    /// What the engines did together.
    pub engines: model::Totals,
    /// Requests that were dispatched more than once, by the engines' own count.
    pub doubled: u64,
    /// Control messages.
    pub traffic: policy::Traffic,
    /// The times between tokens of each tier, in microseconds.
    pub gaps: Vec<hdrhistogram::Histogram<u64>>,
}
