//! What the other daemons have at a service.

use std::{collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{self, pool::load};

/// How long a report counts: daemons with work repeat theirs every half second, and one may be lost.
const REPORT_KEPT: time::Duration = time::Duration::from_millis(1_300);

/// Sums up the latest reports of the other daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    peers: collections::BTreeMap<net::SocketAddr, Peer>,
    /// The sums over `peers`, by endpoint.
    loads: collections::HashMap<id::EndpointName, load::Load>,
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Timestamp,
    report: gateway::LoadReport,
}

impl Peers {
    /// Takes in a report; says whether it is newer than the last of its sender.
    pub(super) fn note(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        report: &gateway::LoadReport,
    ) -> bool {
        if let Some(old) = self.peers.get(&peer) {
            let is_same = old.report.incarnation == report.incarnation;
            if is_same && old.report.number >= report.number {
                return false;
            }
            let old = old.report.endpoints.clone();
            self.subtract(&old);
        }
        self.add(&report.endpoints);
        self.peers.insert(peer, Peer { heard: now, report: report.clone() });
        true
    }

    /// Forgets the work of daemons that have not repeated their reports.
    ///
    /// The report that would have told of its end may be lost, or went to the daemon that placed the
    /// requests then; a daemon that has work repeats it.
    pub(super) fn expire(&mut self, now: Timestamp) {
        let is_old = |(_, peer): &(&net::SocketAddr, &Peer)| {
            !peer.report.endpoints.is_empty() && now.since(peer.heard) > REPORT_KEPT
        };
        let old: Vec<_> = self.peers.iter().filter(is_old).map(|(address, _)| *address).collect();
        for address in old {
            self.forget(address);
        }
    }

    pub(super) fn forget(&mut self, peer: net::SocketAddr) {
        if let Some(old) = self.peers.remove(&peer) {
            self.subtract(&old.report.endpoints);
        }
    }

    /// Forgets what all daemons have at an endpoint, which has started again.
    pub(super) fn forget_endpoint(&mut self, endpoint: &id::EndpointName) {
        self.loads.remove(endpoint);
        for peer in self.peers.values_mut() {
            peer.report.endpoints.retain(|load| load.endpoint != *endpoint);
        }
    }

    pub(super) fn load(&self, endpoint: &id::EndpointName) -> load::Load {
        self.loads.get(endpoint).copied().unwrap_or_default()
    }

    /// Returns when the daemon that was silent the longest was heard.
    pub(super) fn oldest(&self) -> Option<Timestamp> {
        self.peers.values().map(|peer| peer.heard).min()
    }

    fn add(&mut self, loads: &[gateway::EndpointLoad]) {
        for load in loads {
            let sum = self.loads.entry(load.endpoint.clone()).or_default();
            sum.running += u32::from(load.running);
            sum.prefill = sum.prefill.saturating_add(load.prefill);
        }
    }

    fn subtract(&mut self, loads: &[gateway::EndpointLoad]) {
        for load in loads {
            if let Some(sum) = self.loads.get_mut(&load.endpoint) {
                sum.running = sum.running.saturating_sub(u32::from(load.running));
                sum.prefill = sum.prefill.saturating_sub(load.prefill);
                if sum.running == 0 {
                    self.loads.remove(&load.endpoint);
                }
            }
        }
    }
}
