//! The initial estimates of a new endpoint.

use crate::gateway;

/// The estimates of an endpoint before any measurement.
#[derive(Clone, Copy, Debug)]
pub(super) struct InitialEstimates {
    /// The time between two tokens, in milliseconds.
    pub(super) step_ms: f64,
    /// The time to a first event without the reading of the prompt, in units of the time between two
    /// tokens.
    pub(super) overhead_steps: f64,
    /// The time to read a prompt token, in units of the time between two tokens.
    pub(super) prompt_steps: f64,
}

impl InitialEstimates {
    /// Returns the estimates from the settings.
    pub(super) const fn new(params: &gateway::PoolParams) -> Self {
        Self {
            step_ms: params.step_ms,
            overhead_steps: params.first_ms / params.step_ms,
            prompt_steps: params.prompt_ms / params.step_ms,
        }
    }
}
