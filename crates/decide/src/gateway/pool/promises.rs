//! Places that were given to other daemons and are not yet in their reports.

use std::{net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{Grant, Pool};

/// How long a place is kept for a daemon that does not report it: all daemons report their work twice a second.
const KEPT: time::Duration = time::Duration::from_millis(700);

/// A place that a daemon was given.
#[derive(Clone, Debug)]
pub(super) struct Promise {
    until: Timestamp,
    given: u64,
    endpoint: id::EndpointName,
    /// Which start of the endpoint.
    start: u64,
    prompt: u32,
}

impl Pool {
    /// Gives a place to another daemon, as its `given`-th.
    ///
    /// It counts as taken until that daemon's report names it, or for some time.
    pub fn promise(&mut self, now: Timestamp, grant: &Grant, peer: net::SocketAddr, given: u64) {
        if let Some(endpoint) = self.granted(grant) {
            endpoint.own.remove(grant.prompt);
            endpoint.promised.add(grant.prompt);
        }
        self.promises.entry(peer).or_default().push_back(Promise {
            until: now + KEPT,
            given,
            endpoint: grant.endpoint.clone(),
            start: grant.start,
            prompt: grant.prompt,
        });
    }

    /// Drops the promises that a daemon's report names: all up to `placed`.
    pub(super) fn redeem(&mut self, peer: net::SocketAddr, placed: u64) {
        let Some(promises) = self.promises.get_mut(&peer) else { return };
        let named = promises.partition_point(|promise| promise.given <= placed);
        let named: Vec<_> = promises.drain(..named).collect();
        for promise in &named {
            self.drop_promise(promise);
        }
    }

    /// Drops the promises that have lapsed.
    pub(super) fn lapse(&mut self, now: Timestamp) {
        let mut lapsed = Vec::new();
        self.promises.retain(|_, promises| {
            let old = promises.partition_point(|promise| promise.until <= now);
            lapsed.extend(promises.drain(..old));
            !promises.is_empty()
        });
        for promise in &lapsed {
            self.drop_promise(promise);
        }
    }

    fn drop_promise(&mut self, promise: &Promise) {
        if let Some(endpoint) = self.endpoints.get_mut(&promise.endpoint)
            && endpoint.start == promise.start
        {
            endpoint.promised.remove(promise.prompt);
        }
    }
}
