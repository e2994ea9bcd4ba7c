//! What the other daemons have at a service.

use std::collections;

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{self, pool::endpoint};

/// Sums up the latest digests of the other daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    peers: collections::HashMap<u64, Peer>,
    /// The sums over `peers`, by endpoint.
    loads: collections::HashMap<id::EndpointName, endpoint::Load>,
    /// The sums of the waiting requests, by rank.
    waiting: Vec<usize>,
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Timestamp,
    digest: gateway::PoolDigest,
}

impl Peers {
    pub(super) fn note(&mut self, now: Timestamp, peer: u64, digest: &gateway::PoolDigest) {
        let peer = self.peers.insert(peer, Peer { heard: now, digest: digest.clone() });
        if let Some(old) = peer {
            self.subtract(&old.digest);
        }
        self.add(digest);
    }

    pub(super) fn forget(&mut self, peer: u64) {
        if let Some(old) = self.peers.remove(&peer) {
            self.subtract(&old.digest);
        }
    }

    pub(super) fn load(&self, endpoint: &id::EndpointName) -> endpoint::Load {
        self.loads.get(endpoint).copied().unwrap_or_default()
    }

    /// Returns how many requests that are more urgent than `rank` wait elsewhere.
    pub(super) fn waiting_above(&self, rank: u8) -> usize {
        self.waiting.iter().take(usize::from(rank)).sum()
    }

    /// Returns when the daemon that was silent the longest was heard.
    pub(super) fn oldest(&self) -> Option<Timestamp> {
        self.peers.values().map(|peer| peer.heard).min()
    }

    fn add(&mut self, digest: &gateway::PoolDigest) {
        for load in &digest.endpoints {
            let sum = self.loads.entry(load.endpoint.clone()).or_default();
            sum.running += u32::from(load.running);
            sum.prefill = sum.prefill.saturating_add(load.prefill);
        }
        for (rank, count) in digest.waiting.iter().enumerate() {
            if self.waiting.len() <= rank {
                self.waiting.resize(rank + 1, 0);
            }
            self.waiting[rank] += usize::from(*count);
        }
    }

    fn subtract(&mut self, digest: &gateway::PoolDigest) {
        for load in &digest.endpoints {
            if let Some(sum) = self.loads.get_mut(&load.endpoint) {
                sum.running = sum.running.saturating_sub(u32::from(load.running));
                sum.prefill = sum.prefill.saturating_sub(load.prefill);
                if sum.running == 0 {
                    self.loads.remove(&load.endpoint);
                }
            }
        }
        for (rank, count) in digest.waiting.iter().enumerate() {
            if let Some(sum) = self.waiting.get_mut(rank) {
                *sum = sum.saturating_sub(usize::from(*count));
            }
        }
    }
}

impl endpoint::Endpoint {
    /// Describes what this daemon has at the endpoint.
    pub(super) fn load(&self, name: &id::EndpointName) -> gateway::EndpointLoad {
        gateway::EndpointLoad {
            endpoint: name.clone(),
            running: u16::try_from(self.own.running).unwrap_or(u16::MAX),
            prefill: self.own.prefill,
        }
    }
}
