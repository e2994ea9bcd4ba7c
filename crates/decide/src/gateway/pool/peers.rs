//! What the other daemons have at a service.

use std::{collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{
    self,
    pool::{endpoint, load},
};

/// How long a report counts: daemons with work tell all of it every half second, and two may be lost.
const REPORT_KEPT: time::Duration = time::Duration::from_millis(1_600);

/// Work by endpoint, where there is some.
type Loads = collections::HashMap<id::EndpointName, load::Load>;

/// The endpoints, which hold the sums of what other daemons have there.
type Endpoints = collections::BTreeMap<id::EndpointName, endpoint::Endpoint>;

/// Holds the latest reports of the other daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    peers: collections::BTreeMap<net::SocketAddr, Peer>,
}

/// Says what a report has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Noted {
    /// Nothing: it is older than another.
    Stale,
    /// It is taken in.
    Taken {
        /// Whether a request has ended somewhere.
        has_freed: bool,
    },
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Timestamp,
    /// The latest report's incarnation and number.
    last: (u64, u64),
    loads: Loads,
}

impl Peers {
    /// Takes in a report, of the endpoints that are known and have not started again since.
    pub(super) fn note(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        report: &gateway::LoadReport,
        endpoints: &mut Endpoints,
    ) -> Noted {
        let last = (report.incarnation, report.number);
        let known = self.peers.get(&peer).map(|known| known.last);
        if known.is_some_and(|known| known.0 == last.0 && known.1 >= last.1) {
            return Noted::Stale;
        }
        // A new incarnation has none of the work of the one before.
        let mut has_freed = false;
        if report.is_full || known.is_none_or(|known| known.0 != last.0) {
            has_freed = self.running(peer) > report.running();
            self.forget(peer, endpoints);
        }
        let new = || Peer { heard: now, last, loads: Loads::new() };
        let known = self.peers.entry(peer).or_insert_with(new);
        known.heard = now;
        known.last = last;
        for told in &report.endpoints {
            let Some(endpoint) = endpoints.get_mut(&told.endpoint) else { continue };
            if endpoint.start != told.start {
                continue;
            }
            let load = load::Load { running: u32::from(told.running), prefill: told.prefill };
            let before = if load.running == 0 {
                known.loads.remove(&told.endpoint)
            } else {
                known.loads.insert(told.endpoint.clone(), load)
            };
            let before = before.unwrap_or_default();
            has_freed |= before.running > load.running;
            endpoint.others = endpoint.others.minus(before).plus(load);
        }
        Noted::Taken { has_freed }
    }

    /// Returns how many requests a daemon has at all endpoints.
    fn running(&self, peer: net::SocketAddr) -> u32 {
        let known = self.peers.get(&peer);
        known.map_or(0, |known| known.loads.values().map(|load| load.running).sum())
    }

    /// Forgets the work of daemons that have not repeated their reports.
    ///
    /// The report that would have told of its end may be lost, or went to the daemon that placed the
    /// requests then; a daemon that has work repeats it.
    pub(super) fn expire(&mut self, now: Timestamp, endpoints: &mut Endpoints) {
        let is_old = |(_, peer): &(&net::SocketAddr, &Peer)| {
            !peer.loads.is_empty() && now.since(peer.heard) > REPORT_KEPT
        };
        let old: Vec<_> = self.peers.iter().filter(is_old).map(|(address, _)| *address).collect();
        for address in old {
            self.forget(address, endpoints);
        }
    }

    pub(super) fn forget(&mut self, peer: net::SocketAddr, endpoints: &mut Endpoints) {
        let Some(old) = self.peers.remove(&peer) else { return };
        for (name, load) in &old.loads {
            if let Some(endpoint) = endpoints.get_mut(name) {
                endpoint.others = endpoint.others.minus(*load);
            }
        }
    }

    /// Forgets what all daemons have at an endpoint, which has started again.
    pub(super) fn forget_endpoint(&mut self, endpoint: &id::EndpointName) {
        for peer in self.peers.values_mut() {
            peer.loads.remove(endpoint);
        }
    }

    /// Returns when the daemon that was silent the longest was heard.
    pub(super) fn oldest(&self) -> Option<Timestamp> {
        self.peers.values().map(|peer| peer.heard).min()
    }
}
