//! How much engine time a request needs at the least.

use trefoildyke_types::engine;

use crate::{experiment::arrivals, model};

/// Measures work in microseconds of an engine with speed 1.
///
/// A step costs at least its base and its tokens, and holds at most a chunk of prompt tokens and
/// one token for each slot. So the base may be charged to these in any fixed proportion, and the
/// charges of one step never exceed its length.
#[derive(Clone, Copy, Debug)]
pub(super) struct Measure {
    prompt_us: f64,
    output_us: f64,
}

impl Measure {
    /// Charges the share `to_prompts` of a step's base to prompt tokens and the rest to answers.
    pub(super) fn new(params: &model::Params, slots: u32, to_prompts: f64) -> Self {
        let prompt_base = to_prompts * params.base_us / f64::from(params.chunk_tokens);
        let output_base = (1.0 - to_prompts) * params.base_us / f64::from(slots);
        Self {
            prompt_us: params.prefill_us + prompt_base,
            output_us: params.decode_us + output_base,
        }
    }

    /// Returns the least work that completes the request.
    pub(super) fn of(&self, arrival: &arrivals::Arrival) -> f64 {
        let prompt = self.prompt_us * f64::from(least_prefill(arrival));
        prompt + self.output_us * f64::from(arrival.output_tokens)
    }
}

/// Returns the prompt tokens that have to be processed if the whole prefix is cached.
pub(super) fn least_prefill(arrival: &arrivals::Arrival) -> u32 {
    let most = arrival.prompt_tokens.saturating_sub(1) / engine::BLOCK_TOKENS;
    let cached = (arrival.prefix.len() as u32).min(most);
    arrival.prompt_tokens - cached * engine::BLOCK_TOKENS
}

/// Returns the least time in microseconds that the request takes alone on an engine of `speed`.
pub(super) fn least_time(arrival: &arrivals::Arrival, params: &model::Params, speed: f64) -> f64 {
    let steps = f64::from(arrival.output_tokens) * (params.base_us + params.decode_us);
    (steps + f64::from(least_prefill(arrival)) * params.prefill_us) / speed
}
