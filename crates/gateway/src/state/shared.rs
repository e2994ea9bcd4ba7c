//! What the tasks of a gateway share.

use std::sync;
use std::sync::atomic;

use tokio::net;
use trefoildyke_decide::gateway;
use trefoildyke_kernel as kernel;
use trefoildyke_types::{id, time::Timestamp};

use crate::{charging, clock, metrics, query, record, settings, state, upstream};

/// The part of the connections that an endpoint accepts which may be idle; requests need the rest.
const IDLE_PART: f64 = 0.5;

/// How many idle connections are kept to one endpoint at most: about its slots.
const IDLE_EACH: usize = 8;

/// Holds the gateway's state and the means to act.
pub(crate) struct Shared {
    pub(crate) settings: settings::Settings,
    pub(crate) clock: clock::Clock,
    pub(crate) journal: record::Journal,
    pub(crate) metrics: metrics::Metrics,
    /// Counts the requests in progress.
    pub(crate) gate: kernel::Gate,
    pub(crate) links: upstream::Links,
    /// What other daemons are asked about the store.
    pub(crate) queries: query::Queries,
    /// What other daemons are asked of quotas.
    pub(crate) charges: charging::Charges,
    socket: sync::OnceLock<sync::Arc<net::UdpSocket>>,
    core: sync::Mutex<state::Core>,
    /// When a graceful stop that has begun cuts off what still runs.
    stop_end: sync::OnceLock<Timestamp>,
    /// The last answer to a readiness check.
    ready: atomic::AtomicBool,
    /// Set when the others have not been told the latest.
    changed: atomic::AtomicBool,
}

impl Shared {
    pub(crate) fn new(
        settings: settings::Settings,
        journal: record::Journal,
        metrics: metrics::Metrics,
    ) -> Self {
        let core = sync::Mutex::new(state::Core::new(&settings, rand::random()));
        let links = upstream::Links::new(settings.connect);
        Self {
            settings,
            clock: clock::Clock::start(),
            journal,
            metrics,
            gate: kernel::Gate::default(),
            links,
            queries: query::Queries::default(),
            charges: charging::Charges::default(),
            socket: sync::OnceLock::new(),
            core,
            stop_end: sync::OnceLock::new(),
            ready: atomic::AtomicBool::new(false),
            changed: atomic::AtomicBool::new(false),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Locks the beliefs; held only for short computations.
    pub(crate) fn core(&self) -> sync::MutexGuard<'_, state::Core> {
        self.core.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sets the socket by which the others are told; without one, they are told nothing.
    pub(crate) fn set_socket(&self, socket: sync::Arc<net::UdpSocket>) {
        // Set once, at the start.
        let _ = self.socket.set(socket);
    }

    /// Sends a message to other daemons; one that is lost is made up for by the next digest.
    pub(crate) fn tell(&self, message: &gateway::Message, others: &[std::net::SocketAddr]) {
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

    /// Tells all others something of this daemon, once.
    pub(crate) fn announce(&self, kind: state::DigestKind) {
        let digest = self.core().own_digest(self.now(), kind);
        let others = self.core().mesh.others();
        self.tell(&gateway::Message::Digest(digest), &others);
    }

    pub(crate) fn set_changed(&self) {
        self.changed.store(true, atomic::Ordering::Relaxed);
    }

    /// Says whether the others have to be told something, and takes it as told.
    pub(crate) fn take_changed(&self) -> bool {
        self.changed.swap(false, atomic::Ordering::Relaxed)
    }

    /// Notes the answer to a readiness check; says whether that has changed.
    pub(crate) fn note_ready(&self, ready: bool) -> bool {
        self.ready.swap(ready, atomic::Ordering::Relaxed) != ready
    }

    /// Begins a graceful stop that cuts off after `left` what still runs then.
    pub(crate) fn begin_stop(&self, left: std::time::Duration) {
        // A second stop changes nothing.
        let _ = self.stop_end.set(self.now() + left);
        self.core().begin_stop();
        self.set_changed();
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_end.get().is_some()
    }

    /// Returns how long a request may still run if a graceful stop has begun.
    pub(crate) fn left_to_stop(&self) -> Option<std::time::Duration> {
        self.stop_end.get().map(|end| end.since(self.now()))
    }

    /// Ends a granted place and hands out what has become free.
    pub(crate) fn release(
        &self,
        service: &id::PoolName,
        grant: &gateway::Grant,
        prompt: u32,
        outcome: gateway::Outcome,
    ) {
        let now = self.now();
        self.decide(|core| {
            let decided = core.service(service);
            decided.pool.end(now, grant, prompt, outcome);
            decided.hand_out(now);
            core.report(now, service);
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
        let has_changed = self.decide(|core| {
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

    /// Changes the beliefs and sends the messages that follow.
    pub(crate) fn decide<T>(&self, change: impl FnOnce(&mut state::Core) -> T) -> T {
        let (result, mail) = {
            let mut core = self.core();
            let result = change(&mut core);
            (result, core.take_mail())
        };
        for letter in mail {
            self.tell(&letter.message, &[letter.to]);
        }
        result
    }

    /// Notes that another daemon is not to be asked for a while.
    pub(crate) fn doubt(&self, peer: std::net::SocketAddr, reason: &'static str) {
        self.core().mesh.doubt(self.now(), peer);
        self.journal.write(&record::Event::PeerDoubted { peer, reason });
    }

    /// Keeps a connection to an endpoint for reuse, within this daemon's part of those that the
    /// endpoint accepts from all.
    pub(crate) fn keep(
        &self,
        service: &id::PoolName,
        endpoint: &id::EndpointName,
        link: upstream::Link,
    ) {
        let core = self.core();
        let table = core.table.as_ref();
        let accepted = table.and_then(|table| table.service(service)).map_or(0, |s| s.connections);
        let part = f64::from(accepted) * IDLE_PART / core.mesh.count() as f64;
        drop(core);
        self.links.keep(endpoint, link, (part as usize).clamp(1, IDLE_EACH));
    }

    /// Says whether new connections may come, and how old the belief is.
    pub(crate) fn readiness(&self) -> (bool, Option<std::time::Duration>) {
        let now = self.now();
        let core = self.core();
        let is_known = core.table.is_some() && !core.roster.is_empty();
        let is_fresh = core.freshness.is_within(now, self.settings.ready_age);
        (is_known && is_fresh && !self.is_stopping(), core.freshness.age(now))
    }
}
