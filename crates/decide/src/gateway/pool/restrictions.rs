//! Restrictions that endpoints state in their answers to this daemon.

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

/// How long a restriction is kept after it was last received. Endpoints that leave are gone by then.
const RETENTION: time::Duration = time::Duration::from_secs(3_600);

/// The restrictions that this daemon has received from endpoints.
///
/// They outlast the endpoint's entry in the list, which may lapse and return while the endpoint runs.
#[derive(Clone, Debug, Default)]
pub(super) struct Restrictions {
    by_endpoint: collections::BTreeMap<id::EndpointName, Restriction>,
}

#[derive(Clone, Copy, Debug)]
struct Restriction {
    /// The start of the endpoint that stated it; it does not apply to later ones.
    start: u64,
    received_at: Timestamp,
    /// Whether the endpoint is about to stop, which is never withdrawn.
    leaving: bool,
    /// The endpoint wants no requests from this host before this time.
    backoff_until: Timestamp,
}

impl Restrictions {
    /// Records that an endpoint is about to stop; returns whether that is new.
    pub(super) fn note_leaving(
        &mut self,
        now: Timestamp,
        endpoint: &id::EndpointName,
        start: u64,
    ) -> bool {
        let Some(restriction) = self.entry(now, endpoint, start) else { return false };
        !std::mem::replace(&mut restriction.leaving, true)
    }

    /// Records that an endpoint wants no requests from this host until `until`.
    pub(super) fn note_backoff(
        &mut self,
        now: Timestamp,
        endpoint: &id::EndpointName,
        start: u64,
        until: Timestamp,
    ) {
        if let Some(restriction) = self.entry(now, endpoint, start) {
            restriction.backoff_until = restriction.backoff_until.max(until);
        }
    }

    /// Returns whether an endpoint has said that it is about to stop.
    pub(super) fn is_leaving(&self, endpoint: &id::EndpointName, start: u64) -> bool {
        self.get(endpoint, start).is_some_and(|restriction| restriction.leaving)
    }

    /// Returns for how long an endpoint wants no requests from this host; `None` if it takes them.
    pub(super) fn backoff(
        &self,
        now: Timestamp,
        endpoint: &id::EndpointName,
        start: u64,
    ) -> Option<time::Duration> {
        let until = self.get(endpoint, start)?.backoff_until;
        (now < until).then(|| until.since(now))
    }

    fn get(&self, endpoint: &id::EndpointName, start: u64) -> Option<&Restriction> {
        self.by_endpoint.get(endpoint).filter(|restriction| restriction.start == start)
    }

    /// Returns the restriction of a start of an endpoint; `None` if there is one of a later start.
    fn entry(
        &mut self,
        now: Timestamp,
        endpoint: &id::EndpointName,
        start: u64,
    ) -> Option<&mut Restriction> {
        let is_kept = |_: &id::EndpointName, restriction: &mut Restriction| {
            now.since(restriction.received_at) < RETENTION
        };
        self.by_endpoint.retain(is_kept);
        let new =
            Restriction { start, received_at: now, leaving: false, backoff_until: Timestamp::ZERO };
        let restriction = self.by_endpoint.entry(endpoint.clone()).or_insert(new);
        if restriction.start < start {
            *restriction = new;
        }
        restriction.received_at = now;
        (restriction.start == start).then_some(restriction)
    }
}
