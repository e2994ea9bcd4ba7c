//! The load that the other daemons have reported.

use std::{collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{
    self,
    pool::{endpoint, load},
};

/// How long a report is valid: daemons with running requests report all of them every half second, and two
/// reports may be lost.
const REPORT_TTL: time::Duration = time::Duration::from_millis(1_600);

/// The load by endpoint, where it is not zero.
type Loads = collections::HashMap<id::EndpointName, load::Load>;

/// The endpoints, which hold the sums of the other daemons' loads.
type Endpoints = collections::BTreeMap<id::EndpointName, endpoint::Endpoint>;

/// The latest load reports of the other daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerLoads {
    peers: collections::BTreeMap<net::SocketAddr, Peer>,
}

/// The result of applying a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportOutcome {
    /// The report was ignored because it is not newer than the latest one.
    Stale,
    /// It was applied.
    Applied {
        /// Whether a request has ended somewhere.
        has_freed: bool,
    },
}

#[derive(Clone, Debug)]
struct Peer {
    received_at: Timestamp,
    /// The incarnation and the number of the latest report.
    latest: (u64, u64),
    loads: Loads,
}

impl PeerLoads {
    /// Applies a report to the known endpoints, except those that have started again since.
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        report: &gateway::LoadReport,
        endpoints: &mut Endpoints,
    ) -> ReportOutcome {
        let latest = (report.incarnation, report.number);
        let known = self.peers.get(&peer).map(|known| known.latest);
        if known.is_some_and(|known| known.0 == latest.0 && known.1 >= latest.1) {
            return ReportOutcome::Stale;
        }
        // A new incarnation runs none of the requests of the one before.
        let mut has_freed = false;
        if report.is_full || known.is_none_or(|known| known.0 != latest.0) {
            has_freed = self.running(peer) > report.running();
            self.remove_peer(peer, endpoints);
        }
        let new = || Peer { received_at: now, latest, loads: Loads::new() };
        let known = self.peers.entry(peer).or_insert_with(new);
        known.received_at = now;
        known.latest = latest;
        for reported in &report.endpoints {
            let Some(endpoint) = endpoints.get_mut(&reported.endpoint) else { continue };
            if endpoint.start != reported.start {
                continue;
            }
            let load =
                load::Load { running: u32::from(reported.running), prefill: reported.prefill };
            let previous = if load.running == 0 {
                known.loads.remove(&reported.endpoint)
            } else {
                known.loads.insert(reported.endpoint.clone(), load)
            };
            let previous = previous.unwrap_or_default();
            has_freed |= previous.running > load.running;
            endpoint.others = endpoint.others.minus(previous).plus(load);
        }
        ReportOutcome::Applied { has_freed }
    }

    /// Returns how many requests a daemon has at all endpoints.
    fn running(&self, peer: net::SocketAddr) -> u32 {
        let known = self.peers.get(&peer);
        known.map_or(0, |known| known.loads.values().map(|load| load.running).sum())
    }

    /// Drops the load of daemons that have not repeated their reports.
    ///
    /// The report about the end of the requests may be lost, or may have gone to the daemon that placed
    /// requests at that time. A daemon with running requests repeats its report.
    pub(super) fn expire(&mut self, now: Timestamp, endpoints: &mut Endpoints) {
        let is_expired = |(_, peer): &(&net::SocketAddr, &Peer)| {
            !peer.loads.is_empty() && now.since(peer.received_at) > REPORT_TTL
        };
        let expired: Vec<_> =
            self.peers.iter().filter(is_expired).map(|(address, _)| *address).collect();
        for address in expired {
            self.remove_peer(address, endpoints);
        }
    }

    pub(super) fn remove_peer(&mut self, peer: net::SocketAddr, endpoints: &mut Endpoints) {
        let Some(expired) = self.peers.remove(&peer) else { return };
        for (name, load) in &expired.loads {
            if let Some(endpoint) = endpoints.get_mut(name) {
                endpoint.others = endpoint.others.minus(*load);
            }
        }
    }

    /// Drops the load of all daemons at an endpoint that has started again.
    pub(super) fn remove_endpoint(&mut self, endpoint: &id::EndpointName) {
        for peer in self.peers.values_mut() {
            peer.loads.remove(endpoint);
        }
    }

    /// Returns the time of the latest report of the daemon that has been silent the longest.
    pub(super) fn oldest_report(&self) -> Option<Timestamp> {
        self.peers.values().map(|peer| peer.received_at).min()
    }
}
