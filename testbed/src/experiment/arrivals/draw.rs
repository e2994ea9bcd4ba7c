//! Draws of single properties.

use std::time;

use rand::Rng;
use trefoildyke_types::engine;

/// Draws the time to the next arrival of a Poisson process with `rate` arrivals a second.
pub(super) fn interval(rng: &mut impl Rng, rate: f64) -> time::Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    time::Duration::from_secs_f64(-uniform.ln() / rate)
}

/// Draws a position with a probability in proportion to its weight.
pub(super) fn weighted(rng: &mut impl Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = rng.random_range(0.0..1.0) * total;
    let mut last = 0;
    for (position, weight) in weights.enumerate() {
        last = position;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}

/// Returns the blocks of prefix number `prefix` of class number `class`.
pub(super) fn blocks(class: usize, prefix: usize, tokens: u32) -> Vec<u64> {
    let mut hash = ((class as u64) << 32) | prefix as u64;
    let mut blocks = Vec::new();
    for number in 0..tokens / engine::BLOCK_TOKENS {
        let mut hasher = xxhash_rust::xxh3::Xxh3::with_seed(hash);
        hasher.update(&number.to_le_bytes());
        hash = hasher.digest();
        blocks.push(hash);
    }
    blocks
}
