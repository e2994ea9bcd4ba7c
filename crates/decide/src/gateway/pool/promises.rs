//! Places that were given to other daemons and are not yet in their reports.

use std::{net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{Grant, Pool};

/// How long a place is kept for a daemon that does not report it: the way there, a busy host, and
/// the way of the report.
const KEPT: time::Duration = time::Duration::from_millis(250);

/// A place that a daemon was given.
#[derive(Clone, Debug)]
pub(super) struct Promise {
    until: Timestamp,
    peer: net::SocketAddr,
    given: u64,
    endpoint: id::EndpointName,
    /// Which start of the endpoint.
    start: u64,
    prompt: u32,
}

impl Pool {
    /// Gives a place to another daemon, as its `given`-th.
    ///
    /// It counts as taken until that daemon's report names it, or for a quarter of a second.
    pub fn promise(&mut self, now: Timestamp, grant: &Grant, peer: net::SocketAddr, given: u64) {
        if let Some(endpoint) = self.granted(grant) {
            endpoint.own.remove(grant.prompt);
            endpoint.promised.add(grant.prompt);
        }
        self.promises.push_back(Promise {
            until: now + KEPT,
            peer,
            given,
            endpoint: grant.endpoint.clone(),
            start: grant.start,
            prompt: grant.prompt,
        });
    }

    /// Drops the promises that a daemon's report names: all up to `placed`.
    pub(super) fn redeem(&mut self, peer: net::SocketAddr, placed: u64) {
        self.drop_promises(|promise| promise.peer == peer && promise.given <= placed);
    }

    /// Drops the promises that have lapsed.
    pub(super) fn lapse(&mut self, now: Timestamp) {
        if self.promises.front().is_some_and(|promise| promise.until <= now) {
            self.drop_promises(|promise| promise.until <= now);
        }
    }

    fn drop_promises(&mut self, is_over: impl Fn(&Promise) -> bool) {
        let endpoints = &mut self.endpoints;
        self.promises.retain(|promise| {
            let is_over = is_over(promise);
            if is_over
                && let Some(endpoint) = endpoints.get_mut(&promise.endpoint)
                && endpoint.start == promise.start
            {
                endpoint.promised.remove(promise.prompt);
            }
            !is_over
        });
    }
}
