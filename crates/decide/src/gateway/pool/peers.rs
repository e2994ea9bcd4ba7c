//! What the other daemons have at a service.

use std::{collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{self, pool::load};

/// How long a report counts: daemons with work tell all of it every quarter second, and some may be lost.
const REPORT_KEPT: time::Duration = time::Duration::from_millis(1_300);

/// Work by endpoint, where there is some.
type Loads = collections::HashMap<id::EndpointName, load::Load>;

/// Sums up the latest reports of the other daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    peers: collections::BTreeMap<net::SocketAddr, Peer>,
    /// The sums over `peers`, by endpoint.
    loads: Loads,
}

#[derive(Clone, Debug)]
struct Peer {
    heard: Timestamp,
    /// The latest report's incarnation and number.
    last: (u64, u64),
    loads: Loads,
}

impl Peers {
    /// Takes in a report; says whether it is newer than the last of its sender.
    pub(super) fn note(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        report: &gateway::LoadReport,
    ) -> bool {
        let last = (report.incarnation, report.number);
        let known = self.peers.get(&peer).map(|known| known.last);
        if known.is_some_and(|known| known.0 == last.0 && known.1 >= last.1) {
            return false;
        }
        // A new incarnation has none of the work of the one before.
        if report.is_full || known.is_none_or(|known| known.0 != last.0) {
            self.forget(peer);
        }
        let new = || Peer { heard: now, last, loads: Loads::new() };
        let known = self.peers.entry(peer).or_insert_with(new);
        known.heard = now;
        known.last = last;
        for told in &report.endpoints {
            let load = load::Load { running: u32::from(told.running), prefill: told.prefill };
            let before = if load.running == 0 {
                known.loads.remove(&told.endpoint)
            } else {
                known.loads.insert(told.endpoint.clone(), load)
            };
            subtract(&mut self.loads, &told.endpoint, before.unwrap_or_default());
            add(&mut self.loads, &told.endpoint, load);
        }
        true
    }

    /// Forgets the work of daemons that have not repeated their reports.
    ///
    /// The report that would have told of its end may be lost, or went to the daemon that placed the
    /// requests then; a daemon that has work repeats it.
    pub(super) fn expire(&mut self, now: Timestamp) {
        let is_old = |(_, peer): &(&net::SocketAddr, &Peer)| {
            !peer.loads.is_empty() && now.since(peer.heard) > REPORT_KEPT
        };
        let old: Vec<_> = self.peers.iter().filter(is_old).map(|(address, _)| *address).collect();
        for address in old {
            self.forget(address);
        }
    }

    pub(super) fn forget(&mut self, peer: net::SocketAddr) {
        let Some(old) = self.peers.remove(&peer) else { return };
        for (endpoint, load) in &old.loads {
            subtract(&mut self.loads, endpoint, *load);
        }
    }

    /// Forgets what all daemons have at an endpoint, which has started again.
    pub(super) fn forget_endpoint(&mut self, endpoint: &id::EndpointName) {
        self.loads.remove(endpoint);
        for peer in self.peers.values_mut() {
            peer.loads.remove(endpoint);
        }
    }

    pub(super) fn load(&self, endpoint: &id::EndpointName) -> load::Load {
        self.loads.get(endpoint).copied().unwrap_or_default()
    }

    /// Returns when the daemon that was silent the longest was heard.
    pub(super) fn oldest(&self) -> Option<Timestamp> {
        self.peers.values().map(|peer| peer.heard).min()
    }
}

fn add(loads: &mut Loads, endpoint: &id::EndpointName, load: load::Load) {
    if load.running > 0 {
        let sum = loads.entry(endpoint.clone()).or_default();
        *sum = sum.plus(load);
    }
}

fn subtract(loads: &mut Loads, endpoint: &id::EndpointName, load: load::Load) {
    let Some(sum) = loads.get_mut(endpoint) else { return };
    sum.running = sum.running.saturating_sub(load.running);
    sum.prefill = sum.prefill.saturating_sub(load.prefill);
    if sum.running == 0 {
        loads.remove(endpoint);
    }
}
