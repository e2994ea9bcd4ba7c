//! What a pool assumes of an endpoint that is new.

use crate::gateway;

/// What is assumed of an endpoint before anything was observed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Assumed {
    /// The time between two tokens, in milliseconds.
    pub(super) step_ms: f64,
    /// The time to a first event beside the prompt's own, in times between two tokens.
    pub(super) begin: f64,
    /// The time that a prompt token takes, in times between two tokens.
    pub(super) prompt: f64,
}

impl Assumed {
    /// Returns what the settings say.
    pub(super) const fn new(params: &gateway::PoolParams) -> Self {
        Self {
            step_ms: params.step_ms,
            begin: params.first_ms / params.step_ms,
            prompt: params.prompt_ms / params.step_ms,
        }
    }
}
