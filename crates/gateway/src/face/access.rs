//! What is logged of a request when it ends, however it ends.

use std::{sync, time};

use hyper::HeaderMap;
use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::{names, record, state};

/// Follows one request; logs its end when dropped.
pub(crate) struct AccessEntry {
    shared: sync::Arc<state::Shared>,
    id: String,
    arrived: Timestamp,
    route: String,
    account: Option<id::AccountName>,
    version: u64,
    /// What it asks for, once that was read.
    asked: record::Asked,
    /// The other daemon that gave or refused the last place.
    placer: Option<std::net::SocketAddr>,
    /// How it has ended; a request that is dropped without an outcome was left by its caller.
    outcome: &'static str,
    status: u16,
    endpoint: Option<id::EndpointName>,
    sends: u32,
    first: Option<time::Duration>,
    retry_after: Option<time::Duration>,
    /// The longest pause between two parts of a stream.
    pause: Option<time::Duration>,
    /// How many parts of a stream were passed on.
    events: u32,
}

impl AccessEntry {
    pub(crate) fn new(shared: sync::Arc<state::Shared>, headers: &HeaderMap) -> Self {
        let id = names::text(headers, &shared.settings.names.request_id).unwrap_or_default();
        Self {
            id: id.to_owned(),
            arrived: shared.now(),
            route: String::new(),
            account: None,
            version: 0,
            asked: record::Asked::default(),
            placer: None,
            outcome: "caller_left",
            status: 0,
            endpoint: None,
            sends: 0,
            first: None,
            retry_after: None,
            pause: None,
            events: 0,
            shared,
        }
    }

    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    pub(crate) const fn arrived(&self) -> Timestamp {
        self.arrived
    }

    pub(crate) const fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    pub(crate) fn set_route(&mut self, route: &gateway::Route, account: Option<&gateway::Account>) {
        self.route.clone_from(&route.name);
        self.account = account.map(|account| account.name.clone());
    }

    /// Notes what the request's quota, order and place are decided by.
    pub(crate) const fn asks(&mut self, asked: record::Asked) {
        self.asked = asked;
    }

    /// Notes which other daemon gave or refused the place; `None` for this one.
    pub(crate) const fn decided_by(&mut self, placer: Option<std::net::SocketAddr>) {
        self.placer = placer;
    }

    /// Notes one more send.
    pub(crate) fn sent(&mut self, endpoint: &id::EndpointName) {
        self.sends += 1;
        self.endpoint = Some(endpoint.clone());
    }

    pub(crate) const fn sends(&self) -> u32 {
        self.sends
    }

    /// Notes that the answer has begun.
    pub(crate) fn begun(&mut self, status: u16) {
        self.status = status;
        if self.first.is_none() {
            let first = self.shared.now().since(self.arrived);
            self.first = Some(first);
            self.shared.metrics.first_byte(first.as_millis() as u64);
        }
    }

    /// Notes a part of a stream that came `pause` after the one before; `None` for the first.
    pub(crate) fn part(&mut self, pause: Option<time::Duration>) {
        self.events = self.events.saturating_add(1);
        self.pause = self.pause.max(pause);
    }

    /// Notes how the request has ended.
    pub(crate) const fn ended(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    /// Notes an answer of the gateway's own.
    pub(crate) const fn refused(
        &mut self,
        reason: &'static str,
        status: u16,
        retry_after: Option<time::Duration>,
    ) {
        self.outcome = reason;
        self.status = status;
        self.retry_after = retry_after;
    }
}

impl Drop for AccessEntry {
    fn drop(&mut self) {
        self.shared.metrics.ended(&self.route, self.outcome);
        let ms = |length: time::Duration| length.as_millis() as u64;
        self.shared.journal.write(&record::Event::Ended {
            id: std::mem::take(&mut self.id),
            route: std::mem::take(&mut self.route),
            account: self.account.take(),
            version: self.version,
            asked: self.asked,
            placer: self.placer,
            outcome: self.outcome,
            status: self.status,
            endpoint: self.endpoint.take(),
            sends: self.sends,
            total_ms: ms(self.shared.now().since(self.arrived)),
            first_ms: self.first.map(ms),
            retry_ms: self.retry_after.map(ms),
            pause_ms: self.pause.map(ms),
            events: self.events,
        });
    }
}
