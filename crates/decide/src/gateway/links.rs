//! Whether this daemon can open connections to the endpoints.

use std::{collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

/// The number of endpoints to which connections have to fail before this daemon counts as isolated. A few
/// endpoints that crash at the same time do not make it so.
const MIN_FAILED: usize = 3;

/// How long a failed connection to an endpoint counts.
const FAILURE_AGE: time::Duration = time::Duration::from_secs(2);

/// The interval at which an isolated daemon tries again to reach an endpoint.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How long a daemon that could not forward a connection is not asked again.
const AVOIDANCE: time::Duration = time::Duration::from_secs(1);

/// The state of this daemon's links to the endpoints.
///
/// A daemon is isolated if it can open no connection to any endpoint. It still hears callers and other
/// daemons, so it forwards its requests through those.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// The endpoints to which connections have failed since one was last opened, with the time of the last
    /// failure.
    failed: collections::BTreeMap<id::EndpointName, Timestamp>,
    /// When an isolated daemon next tries to reach an endpoint; `None` if it is not isolated.
    probe_at: Option<Timestamp>,
    /// The daemons that could not forward a connection, and when they may be asked again.
    avoided: collections::BTreeMap<net::SocketAddr, Timestamp>,
}

impl Links {
    /// Records that a connection to an endpoint was opened; returns whether this daemon was isolated before.
    pub fn record_opened(&mut self) -> bool {
        self.failed.clear();
        self.probe_at.take().is_some()
    }

    /// Records that no connection to one of `known` endpoints could be opened; returns whether this shows
    /// that the daemon is isolated.
    pub fn record_failed(
        &mut self,
        now: Timestamp,
        endpoint: &id::EndpointName,
        known: usize,
    ) -> bool {
        self.failed.retain(|_, at| now.since(*at) <= FAILURE_AGE);
        self.failed.insert(endpoint.clone(), now);
        let is_new = self.probe_at.is_none() && self.failed.len() >= MIN_FAILED.min(known.max(1));
        if is_new {
            self.probe_at = Some(now + PROBE_INTERVAL);
        }
        is_new
    }

    /// Returns whether this daemon can open no connection to any endpoint.
    pub const fn is_isolated(&self) -> bool {
        self.probe_at.is_some()
    }

    /// Returns whether this daemon is isolated and should try to reach an endpoint now.
    pub fn take_probe(&mut self, now: Timestamp) -> bool {
        let is_due = self.probe_at.is_some_and(|at| now >= at);
        if is_due {
            self.probe_at = Some(now + PROBE_INTERVAL);
        }
        is_due
    }

    /// Records that `peer` could not forward a connection.
    pub fn avoid(&mut self, now: Timestamp, peer: net::SocketAddr) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(peer, now + AVOIDANCE);
    }

    /// Returns whether `peer` may be asked to forward a connection.
    pub fn may_forward(&self, now: Timestamp, peer: net::SocketAddr) -> bool {
        self.avoided.get(&peer).is_none_or(|until| now >= *until)
    }
}
