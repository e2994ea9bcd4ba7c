//! One request as it reaches an entry host.

use std::{sync, time};

use trefoildyke_types::{id, request, time::Timestamp};

/// Describes one request that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request; its number is the position among the arrivals.
    pub key: id::RequestKey,
    /// When it reaches its entry host.
    pub at: Timestamp,
    /// The entry host that the balancer chose, from 0.
    pub host: u16,
    /// The position of its class in the scenario.
    pub class: usize,
    /// The position of its client account in the scenario.
    pub account: usize,
    /// The rank of its tier.
    pub rank: u8,
    /// The prompt's length in tokens, with the shared prefix.
    pub prompt_tokens: u32,
    /// The length of the answer; no policy but a clairvoyant one may look at it.
    pub output_tokens: u32,
    /// The caller's limit on the answer's length; at least `output_tokens`.
    pub max_tokens: u32,
    /// The blocks of the shared prefix.
    pub prefix: sync::Arc<[u64]>,
    /// How long the caller waits for the whole answer.
    pub patience: time::Duration,
}

impl Arrival {
    /// Returns when the caller stops waiting.
    pub fn deadline(&self) -> Timestamp {
        self.at + self.patience
    }

    /// Returns the request's position among the arrivals.
    pub fn number(&self) -> usize {
        Self::number_of(&self.key)
    }

    /// Returns the position among the arrivals of the request named `key`.
    pub fn number_of(key: &id::RequestKey) -> usize {
        key.id.uuid().as_u128() as u32 as usize
    }

    /// Returns what a coordinator tells a scheduler when `left` of the caller's patience is left.
    pub fn ask(&self, left: time::Duration) -> request::Ask {
        request::Ask {
            key: self.key.clone(),
            coordinator: id::Incarnation::from_u64(u64::from(self.host)),
            rank: self.rank,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            prefix: self.prefix.to_vec(),
            fingerprint: None,
            left_ms: left.as_millis() as u64,
        }
    }
}
