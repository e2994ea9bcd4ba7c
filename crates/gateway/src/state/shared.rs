//! The state that the tasks of a gateway share.

use std::sync;
use std::sync::atomic;

use tokio::net;
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::gateway;
use trefoildyke_kernel as kernel;
use trefoildyke_types::{id, time::Timestamp};

use crate::{
    charging, clock, config_transfer, entries, ingress, metrics, query, record, settings, state,
    streams, upstream,
};

/// The share of an endpoint's permitted connections that may be idle; the rest is needed for requests.
const IDLE_SHARE: f64 = 0.5;

/// The limit on idle connections to one endpoint: about the number of its slots.
const MAX_IDLE: usize = 8;

/// The last part of a graceful stop, in which requests without an answer are answered.
const LAST_ANSWER_TIME: std::time::Duration = std::time::Duration::from_millis(150);

/// The gateway's state, and its handles for I/O.
pub(crate) struct Shared {
    pub(crate) settings: settings::Settings,
    pub(crate) clock: clock::Clock,
    pub(crate) journal: record::Journal,
    pub(crate) metrics: metrics::Metrics,
    /// Counts the requests in progress.
    pub(crate) gate: kernel::Gate,
    pub(crate) connections: upstream::ConnectionPool,
    /// The memory for the bodies of callers' requests.
    pub(crate) bodies: ingress::BodyBudget,
    /// The memory for answers that callers have not received.
    pub(crate) answers: upstream::AnswerMemory,
    /// Queries to other daemons about the store.
    pub(crate) queries: query::Queries,
    /// Transfers of the configuration to other daemons.
    pub(crate) transfers: config_transfer::Transfers,
    /// Charges sent to other daemons.
    pub(crate) charges: charging::PendingCharges,
    /// Questions to other daemons about the versions that began streams.
    pub(crate) origins: streams::PendingOrigins,
    socket: sync::OnceLock<sync::Arc<net::UdpSocket>>,
    core: sync::Mutex<state::Core>,
    /// When a graceful stop that has begun cuts off requests.
    stop_end: sync::OnceLock<Timestamp>,
    /// Cancelled when a graceful stop has begun.
    stop_begun: tokio_sync::CancellationToken,
    /// The last answer to a readiness check.
    ready: atomic::AtomicBool,
    /// Set if there are changes that the other daemons have not been told.
    changed: atomic::AtomicBool,
    /// Whether this daemon read the store on behalf of the others when this was last checked.
    reader: atomic::AtomicBool,
    /// Queries of single entries of endpoints, for the code that follows the list.
    pub(crate) entry_queries: entries::EntryQueries,
    /// Notified when only a read of the configuration keeps this daemon from reading the store for others.
    pub(crate) config_needed: tokio::sync::Notify,
}

impl Shared {
    pub(crate) fn new(
        settings: settings::Settings,
        journal: record::Journal,
        metrics: metrics::Metrics,
    ) -> Self {
        let core = sync::Mutex::new(state::Core::new(&settings, rand::random()));
        let connections = upstream::ConnectionPool::new();
        let bodies = ingress::BodyBudget::new(settings.body_memory);
        let answers = upstream::AnswerMemory::new(settings.answer_memory);
        Self {
            settings,
            bodies,
            clock: clock::Clock::start(),
            journal,
            metrics,
            gate: kernel::Gate::default(),
            connections,
            answers,
            queries: query::Queries::default(),
            transfers: config_transfer::Transfers::new(),
            charges: charging::PendingCharges::default(),
            origins: streams::PendingOrigins::default(),
            socket: sync::OnceLock::new(),
            core,
            stop_end: sync::OnceLock::new(),
            stop_begun: tokio_sync::CancellationToken::new(),
            ready: atomic::AtomicBool::new(false),
            changed: atomic::AtomicBool::new(false),
            reader: atomic::AtomicBool::new(false),
            entry_queries: entries::EntryQueries::default(),
            config_needed: tokio::sync::Notify::new(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Locks the state; the lock is held only for short computations.
    pub(crate) fn core(&self) -> sync::MutexGuard<'_, state::Core> {
        self.core.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sets the socket for messages to other daemons; without one, none are sent.
    pub(crate) fn set_socket(&self, socket: sync::Arc<net::UdpSocket>) {
        // The socket is set once, at the start.
        let _ = self.socket.set(socket);
    }

    /// Sends a message to other daemons. A lost message is made up for by the next digest.
    pub(crate) fn send(&self, message: &gateway::Message, others: &[std::net::SocketAddr]) {
        let Some(socket) = self.socket.get() else { return };
        match rmp_serde::to_vec(message) {
            Ok(bytes) => {
                for other in others {
                    let _ = socket.try_send_to(&bytes, *other);
                }
            }
            Err(error) => log::error!("a message to the other daemons is not sent: {error}"),
        }
    }

    /// Sends all other daemons a digest, once.
    pub(crate) fn announce(&self, kind: state::DigestKind) {
        let digest = self.core().own_digest(self.now(), kind);
        let others = self.core().mesh.others();
        self.send(&gateway::Message::Digest(digest), &others);
    }

    pub(crate) fn set_changed(&self) {
        self.changed.store(true, atomic::Ordering::Relaxed);
    }

    /// Returns whether there are changes to send to the other daemons, and clears the flag.
    pub(crate) fn take_changed(&self) -> bool {
        self.changed.swap(false, atomic::Ordering::Relaxed)
    }

    /// Records the answer to a readiness check; returns whether it has changed.
    pub(crate) fn record_readiness(&self, ready: bool) -> bool {
        self.ready.swap(ready, atomic::Ordering::Relaxed) != ready
    }

    /// Returns whether this daemon reads the store on behalf of the others, and logs a change.
    pub(crate) fn is_reader(&self) -> bool {
        let is_reader = self.core().mesh.is_reader(self.now());
        if self.reader.swap(is_reader, atomic::Ordering::Relaxed) != is_reader {
            self.journal.write(&record::Event::Reader { is_reader });
        }
        is_reader
    }

    /// Changes what is known of the availability of the list's source, and logs a failure or the first success
    /// after one. `basis` is what the change is based on, `reader` the daemon that reported it.
    pub(crate) fn update_availability<T>(
        &self,
        basis: &'static str,
        reader: Option<std::net::SocketAddr>,
        change: impl FnOnce(&mut gateway::Roster) -> T,
    ) -> T {
        let now = self.now();
        let mut core = self.core();
        let before = core.roster.available_since();
        let result = change(&mut core.roster);
        let after = core.roster.available_since();
        drop(core);
        if before.is_some() != after.is_some() {
            let steady_ms = after.map(|since| now.since(since).as_millis() as u64);
            self.journal.write(&record::Event::ListAvailability { steady_ms, basis, reader });
        }
        result
    }

    /// Begins a graceful stop that cuts off the remaining requests after `left`.
    pub(crate) fn begin_stop(&self, left: std::time::Duration) {
        // A second stop has no effect.
        let _ = self.stop_end.set(self.now() + left);
        self.stop_begun.cancel();
        self.core().begin_stop(self.now());
        self.set_changed();
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_end.get().is_some()
    }

    /// Returns how long a request may still run if a graceful stop has begun.
    pub(crate) fn time_to_stop(&self) -> Option<std::time::Duration> {
        self.stop_end.get().map(|end| end.since(self.now()))
    }

    /// Waits until requests without an answer are to be answered because a graceful stop is about to cut them off.
    pub(crate) async fn stop_due(&self) {
        self.stop_begun.cancelled().await;
        let left = self.time_to_stop().unwrap_or_default();
        tokio::time::sleep(left.saturating_sub(LAST_ANSWER_TIME)).await;
    }

    /// Releases a granted slot and grants the free slots to queued requests.
    pub(crate) fn release(
        &self,
        service: &id::PoolName,
        grant: &gateway::Grant,
        prompt: u32,
        outcome: gateway::Outcome,
    ) {
        let now = self.now();
        self.update(|core| {
            let decided = core.service(service);
            decided.pool.end_request(now, grant, prompt, outcome);
            decided.dispatch(now);
            core.report(now, service);
        });
    }

    /// Applies what an endpoint says of itself in the head of an answer.
    pub(crate) fn apply_notices(
        &self,
        service: &id::PoolName,
        grant: &gateway::Grant,
        notices: upstream::Notices,
    ) {
        if let Some(limit) = notices.rate_limit {
            self.note_rate_limit(service, grant, limit);
        }
        if notices.leaving {
            self.note_leaving(service, grant);
        }
        if let Some(length) = notices.backoff {
            self.note_backoff(service, grant, length);
        }
    }

    /// Records that an endpoint is about to stop. Logs it once, and reports it to the daemons that place the
    /// requests.
    fn note_leaving(&self, service: &id::PoolName, grant: &gateway::Grant) {
        let now = self.now();
        let is_new = self.update(|core| {
            let is_new = core.service(service).pool.note_leaving(now, grant);
            if is_new {
                core.report(now, service);
            }
            is_new
        });
        if is_new {
            self.connections.forget(&grant.endpoint);
            let endpoint = grant.endpoint.clone();
            self.journal.write(&record::Event::EndpointLeaving { endpoint });
        }
    }

    /// Records for how long an endpoint wants no requests from this host, and logs it.
    fn note_backoff(
        &self,
        service: &id::PoolName,
        grant: &gateway::Grant,
        length: std::time::Duration,
    ) {
        self.core().service(service).pool.note_backoff(self.now(), grant, length);
        self.metrics.backed_off(service.as_str());
        self.journal.write(&record::Event::EndpointBackoff {
            endpoint: grant.endpoint.clone(),
            backoff_ms: length.as_millis() as u64,
        });
    }

    /// Records an endpoint's rate limit in requests per second, `None` if it sets none. Logs a change
    /// and reports it to the daemon that places the requests.
    pub(crate) fn note_rate_limit(
        &self,
        service: &id::PoolName,
        grant: &gateway::Grant,
        per_s: Option<f64>,
    ) {
        let now = self.now();
        let has_changed = self.update(|core| {
            let has_changed = core.service(service).pool.note_rate_limit(now, grant, per_s);
            if has_changed {
                core.report(now, service);
            }
            has_changed
        });
        if has_changed {
            self.log_rate_limit_changes(service);
        }
    }

    /// Logs the rate limit changes of a service's endpoints since the last call.
    pub(crate) fn log_rate_limit_changes(&self, service: &id::PoolName) {
        let changes = self.core().service(service).pool.take_rate_limit_changes();
        for gateway::RateLimitChange { endpoint, per_s } in changes {
            self.journal.write(&record::Event::EndpointRateLimit { endpoint, per_s });
        }
    }

    /// Logs and counts the probes of idle endpoints since the last call, and updates the number of endpoints
    /// that are passed over.
    pub(crate) fn record_probes(&self) {
        for (service, count) in self.core().passed_over(self.now()) {
            self.metrics.passed_over(service.as_str(), count as u64);
        }
        for (service, probe) in self.core().take_probes() {
            self.metrics.probed(service.as_str());
            self.journal.write(&record::Event::EndpointProbed { service, probe });
        }
    }

    /// Changes the state and sends the messages that result.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut state::Core) -> T) -> T {
        let (result, outbox) = {
            let mut core = self.core();
            let result = change(&mut core);
            (result, core.take_outbox())
        };
        for outgoing in outbox {
            self.send(&outgoing.message, &[outgoing.to]);
        }
        result
    }

    /// Records that another daemon is not to be asked for a while.
    pub(crate) fn suspect_peer(&self, peer: std::net::SocketAddr, reason: &'static str) {
        self.core().mesh.record_timeout(self.now(), peer);
        self.journal.write(&record::Event::PeerDoubted { peer, reason });
    }

    /// Records whether a connection to an endpoint could be opened from this host, and logs a change of
    /// whether any can.
    pub(crate) fn record_link(&self, endpoint: &id::EndpointName, is_open: bool) {
        let now = self.now();
        let mut core = self.core();
        let has_changed = if is_open {
            core.links.record_opened()
        } else {
            let known = core.roster.len();
            core.links.record_failed(now, endpoint, known)
        };
        drop(core);
        if has_changed {
            if !is_open {
                // Idle connections may hang without a reset.
                self.connections.forget_all();
            }
            self.journal.write(&record::Event::Links { isolated: !is_open });
        }
    }

    /// Keeps a connection to an endpoint for reuse, within this daemon's share of the connections that the
    /// endpoint accepts from all daemons.
    pub(crate) fn keep_idle(
        &self,
        service: &id::PoolName,
        endpoint: &id::EndpointName,
        connection: upstream::Connection,
    ) {
        let mut core = self.core();
        if core.service(service).pool.is_leaving(endpoint) {
            return;
        }
        let table = core.table.as_ref();
        let accepted = table.and_then(|table| table.service(service)).map_or(0, |s| s.connections);
        let share = f64::from(accepted) * IDLE_SHARE / core.mesh.count() as f64;
        drop(core);
        self.connections.keep_idle(endpoint, connection, (share as usize).clamp(1, MAX_IDLE));
    }

    /// Returns whether the gateway accepts new connections, and the age of the last confirmation of the
    /// configuration.
    pub(crate) fn readiness(&self) -> (bool, Option<std::time::Duration>) {
        let now = self.now();
        let core = self.core();
        let is_known = core.table.is_some() && !core.roster.is_empty();
        let is_fresh = core.freshness.is_within(now, self.settings.max_ready_age)
            && !core.version_lag.is_overdue(now);
        (is_known && is_fresh && !self.is_stopping(), core.freshness.age(now))
    }
}
