//! The access log: one entry for each request, however it ends.

use std::{sync, time};

use hyper::HeaderMap;
use trefoildyke_decide::gateway;
use trefoildyke_kernel as kernel;
use trefoildyke_types::{id, time::Timestamp};

use crate::{ingress::CallerConnection, names, record, state, upstream};

/// Collects the data of one request; logs them when dropped.
pub(crate) struct AccessLogEntry {
    shared: sync::Arc<state::Shared>,
    connection: sync::Arc<CallerConnection>,
    /// Delays the end of a graceful stop until the answer has been written.
    pass: Option<kernel::Pass>,
    /// The memory that the request's answers take until one has been written.
    memory: Vec<upstream::AnswerReservation>,
    id: String,
    arrived: Timestamp,
    route: String,
    account: Option<id::AccountName>,
    version: u64,
    /// What the request asks for, once it was read.
    asked: record::RequestInputs,
    /// The other daemon that granted or refused the last slot.
    placer: Option<std::net::SocketAddr>,
    /// How the request ended; `None` if it ends with its connection.
    outcome: Option<record::Outcome>,
    status: u16,
    endpoint: Option<id::EndpointName>,
    sends: u32,
    first_byte: Option<time::Duration>,
    retry_after: Option<time::Duration>,
    /// The longest pause between two parts of a stream.
    max_pause: Option<time::Duration>,
    /// The number of parts of a stream that were forwarded.
    events: u32,
    /// Whether the last answer had neither a length nor chunks.
    unframed: bool,
}

impl AccessLogEntry {
    pub(crate) fn new(
        shared: sync::Arc<state::Shared>,
        connection: sync::Arc<CallerConnection>,
        headers: &HeaderMap,
    ) -> Self {
        let id = names::text(headers, &shared.settings.names.request_id).unwrap_or_default();
        Self {
            id: id.to_owned(),
            arrived: shared.now(),
            route: String::new(),
            account: None,
            version: 0,
            asked: record::RequestInputs::default(),
            placer: None,
            outcome: None,
            status: 0,
            endpoint: None,
            sends: 0,
            first_byte: None,
            retry_after: None,
            max_pause: None,
            events: 0,
            unframed: false,
            connection,
            pass: None,
            memory: Vec::new(),
            shared,
        }
    }

    /// Makes a graceful stop wait for the end of the request.
    pub(crate) fn hold(&mut self, pass: kernel::Pass) {
        self.pass = Some(pass);
    }

    /// Keeps the memory of an answer until the end of the request.
    pub(crate) fn keep_memory(&mut self, reservation: upstream::AnswerReservation) {
        self.memory.push(reservation);
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

    pub(crate) fn set_route(
        &mut self,
        route: Option<&gateway::Route>,
        account: Option<&gateway::Account>,
    ) {
        self.route = route.map_or_else(String::new, |route| route.name.clone());
        self.account = account.map(|account| account.name.clone());
    }

    /// Records the inputs of the decisions on the request's quota, rank and slot.
    pub(crate) fn set_asked(&mut self, asked: record::RequestInputs) {
        self.asked = asked;
    }

    /// Records which other daemon granted or refused the slot; `None` for this one.
    pub(crate) const fn set_placer(&mut self, placer: Option<std::net::SocketAddr>) {
        self.placer = placer;
    }

    /// Records one more send.
    pub(crate) fn record_send(&mut self, endpoint: &id::EndpointName) {
        self.sends += 1;
        self.endpoint = Some(endpoint.clone());
    }

    pub(crate) const fn sends(&self) -> u32 {
        self.sends
    }

    /// Records that the answer has started.
    pub(crate) fn begin_answer(&mut self, status: u16) {
        self.status = status;
        if self.first_byte.is_none() {
            let first = self.shared.now().since(self.arrived);
            self.first_byte = Some(first);
            self.shared.metrics.first_byte(first.as_millis() as u64);
        }
    }

    /// Records a part of a stream that came `pause` after the previous one; `None` for the first.
    pub(crate) fn record_part(&mut self, pause: Option<time::Duration>) {
        self.events = self.events.saturating_add(1);
        self.max_pause = self.max_pause.max(pause);
    }

    /// Returns the number of parts of a stream that were forwarded.
    pub(crate) const fn events(&self) -> u32 {
        self.events
    }

    /// Records whose answer is passed on, and whether it had a length or chunks.
    pub(crate) fn set_answer(&mut self, endpoint: &id::EndpointName, is_framed: bool) {
        self.endpoint = Some(endpoint.clone());
        self.unframed = !is_framed;
    }

    /// Records how the request ended, and by whom.
    pub(crate) const fn set_outcome(&mut self, outcome: &'static str, ended_by: record::EndedBy) {
        self.outcome = Some(record::Outcome::new(outcome, ended_by));
    }

    /// Forgets how the request ended, because its answer cannot be written any more.
    pub(super) const fn clear_outcome(&mut self) {
        self.outcome = None;
    }

    /// Keeps the request in progress until its answer, which is now complete, has been written.
    pub(crate) fn await_write(self) {
        let connection = sync::Arc::clone(&self.connection);
        connection.await_write(self);
    }

    /// Records an answer that the gateway made itself.
    pub(crate) const fn set_refusal(
        &mut self,
        reason: &'static str,
        status: u16,
        retry_after: Option<time::Duration>,
    ) {
        self.set_outcome(reason, record::EndedBy::Gateway);
        self.status = status;
        self.retry_after = retry_after;
    }
}

impl Drop for AccessLogEntry {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or_else(|| self.connection.outcome());
        self.shared.metrics.ended(&self.route, outcome);
        let ms = |length: time::Duration| length.as_millis() as u64;
        self.shared.journal.write(&record::Event::Ended {
            id: std::mem::take(&mut self.id),
            route: std::mem::take(&mut self.route),
            account: self.account.take(),
            version: self.version,
            asked: std::mem::take(&mut self.asked),
            placer: self.placer,
            outcome,
            status: self.status,
            endpoint: self.endpoint.take(),
            sends: self.sends,
            total_ms: ms(self.shared.now().since(self.arrived)),
            first_ms: self.first_byte.map(ms),
            retry_ms: self.retry_after.map(ms),
            pause_ms: self.max_pause.map(ms),
            events: self.events,
            unframed: self.unframed,
        });
    }
}
