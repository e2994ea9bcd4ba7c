//! What the other daemons have at a service.

use std::{collections, net};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{self, pool::endpoint};

/// Sums up the latest digests of the other daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    peers: collections::BTreeMap<net::SocketAddr, Peer>,
    /// The sums over `peers`, by endpoint.
    loads: collections::HashMap<id::EndpointName, endpoint::Load>,
    /// The sums of the waiting requests, by class.
    waiting: Vec<usize>,
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Timestamp,
    digest: gateway::PoolDigest,
}

impl Peers {
    pub(super) fn note(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        digest: &gateway::PoolDigest,
    ) {
        let peer = self.peers.insert(peer, Peer { heard: now, digest: digest.clone() });
        if let Some(old) = peer {
            self.subtract(&old.digest);
        }
        self.add(digest);
    }

    pub(super) fn forget(&mut self, peer: net::SocketAddr) {
        if let Some(old) = self.peers.remove(&peer) {
            self.subtract(&old.digest);
        }
    }

    pub(super) fn load(&self, endpoint: &id::EndpointName) -> endpoint::Load {
        self.loads.get(endpoint).copied().unwrap_or_default()
    }

    /// Returns how many requests of more urgent classes wait elsewhere.
    pub(super) fn waiting_above(&self, class: usize) -> usize {
        self.waiting.iter().take(class).sum()
    }

    /// Returns the daemon with the most urgent waiting requests, the most of them, and their class.
    pub(super) fn neediest(&self) -> Option<(usize, net::SocketAddr)> {
        let first = |(address, peer): (&net::SocketAddr, &Peer)| {
            let waiting = peer.digest.waiting.iter().enumerate();
            let first = waiting.clone().find(|(_, count)| **count > 0);
            first.map(|(class, count)| (class, std::cmp::Reverse(*count), *address))
        };
        let neediest = self.peers.iter().filter_map(first).min();
        neediest.map(|(class, _, address)| (class, address))
    }

    /// Notes that one of a daemon's waiting requests is offered a slot.
    pub(super) fn offered(&mut self, peer: net::SocketAddr, class: usize) {
        let Some(peer) = self.peers.get_mut(&peer) else { return };
        if let Some(count) = peer.digest.waiting.get_mut(class) {
            *count = count.saturating_sub(1);
        }
        if let Some(sum) = self.waiting.get_mut(class) {
            *sum = sum.saturating_sub(1);
        }
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
        for (class, count) in digest.waiting.iter().enumerate() {
            if self.waiting.len() <= class {
                self.waiting.resize(class + 1, 0);
            }
            self.waiting[class] += usize::from(*count);
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
        for (class, count) in digest.waiting.iter().enumerate() {
            if let Some(sum) = self.waiting.get_mut(class) {
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
            running: u16::try_from(self.own.running + self.offered).unwrap_or(u16::MAX),
            prefill: self.own.prefill,
        }
    }
}
