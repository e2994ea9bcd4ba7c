//! The queue and the placement of the requests of one service, as one daemon decides them.

mod averages;
mod endpoint;
mod grant_rates;
mod initial_estimates;
mod linear_regression;
mod load;
mod moving_average;
mod params;
mod peer_loads;
mod placement;
mod prefix_cache;
mod probe;
mod queue;
mod rate_limit;
mod rate_limit_change;
mod recent_ranks;
mod request;
mod reservations;
mod restrictions;
mod settle;
mod state;
mod token_bucket;
mod versions;
mod view;

use std::{collections, net};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

pub use params::PoolParams;
pub use probe::Probe;
pub use rate_limit_change::RateLimitChange;
pub use request::{Admission, Grant, Outcome, PoolRequest, QueueDecision, Refused, Ticket};
pub use state::EndpointState;

/// Decides which requests go to which endpoint of a service, and when.
///
/// Engines serve requests in order of arrival and know no priorities. So a request is sent only to an
/// endpoint with a free slot; until then it waits in the queue of this pool, where a more urgent request
/// can still overtake it. One daemon places the requests of all daemons that agree on it, and learns from
/// their load reports what they have sent. While the member lists of two daemons differ, both may place
/// requests; this causes short waits at the engines and nothing else.
#[derive(Clone, Debug)]
pub struct Pool {
    params: PoolParams,
    /// The number of tokens in an event of a stream; 0 if the service runs no model.
    event_tokens: u32,
    endpoints: collections::BTreeMap<id::EndpointName, endpoint::Endpoint>,
    queue: queue::Queue,
    peer_loads: peer_loads::PeerLoads,
    next_ticket: u64,
    grant_rates: grant_rates::GrantRates,
    recent_ranks: recent_ranks::RecentRanks,
    /// The reservations of each other daemon, oldest first.
    reservations:
        collections::HashMap<net::SocketAddr, collections::VecDeque<reservations::Reservation>>,
    /// Which versions may run requests, and the measurements of them.
    versions: versions::Versions,
    /// The averages over the endpoints.
    averages: averages::Averages,
    /// Whether endpoints were listed or removed since `averages` was computed.
    has_roster_change: bool,
    /// The rate limit changes since the last call of `take_rate_limit_changes`.
    rate_limit_changes: Vec<RateLimitChange>,
    /// The probes since the last call of `take_probes`.
    probes: Vec<Probe>,
    /// Restrictions that endpoints state in their answers to this daemon.
    restrictions: restrictions::Restrictions,
}

impl Pool {
    /// Creates a pool without endpoints.
    pub fn new(params: PoolParams, event_tokens: u32) -> Self {
        Self {
            params,
            event_tokens,
            endpoints: collections::BTreeMap::new(),
            queue: queue::Queue::default(),
            peer_loads: peer_loads::PeerLoads::default(),
            next_ticket: 0,
            grant_rates: grant_rates::GrantRates::default(),
            recent_ranks: recent_ranks::RecentRanks::default(),
            reservations: collections::HashMap::new(),
            versions: versions::Versions::default(),
            averages: averages::Averages::default(),
            has_roster_change: true,
            rate_limit_changes: Vec::new(),
            probes: Vec::new(),
            restrictions: restrictions::Restrictions::default(),
        }
    }

    /// Sets the number of tokens per event after the service has changed.
    pub const fn set_event_tokens(&mut self, event_tokens: u32) {
        self.event_tokens = event_tokens;
    }

    /// Adds a listed endpoint or updates it. An endpoint that has started again replaces its earlier start.
    pub fn upsert_endpoint(&mut self, now: Timestamp, entry: &gateway::RosterEntry) {
        match self.endpoints.get_mut(&entry.endpoint) {
            Some(endpoint) if endpoint.start == entry.start => endpoint.update(entry),
            _ => {
                self.peer_loads.remove_endpoint(&entry.endpoint);
                let endpoint = endpoint::Endpoint::new(
                    now,
                    entry,
                    self.initial_estimates(now),
                    self.params.cache_tokens,
                );
                self.endpoints.insert(entry.endpoint.clone(), endpoint);
            }
        }
        if self.restrictions.is_leaving(&entry.endpoint, entry.start)
            && let Some(endpoint) = self.endpoints.get_mut(&entry.endpoint)
        {
            endpoint.set_leaving();
        }
        self.has_roster_change = true;
    }

    /// Returns the endpoint of a grant, or `None` if it has started again since the grant.
    ///
    /// The outcome of the grant says nothing about the new start, which runs none of the earlier requests.
    fn granted_endpoint(&mut self, grant: &Grant) -> Option<&mut endpoint::Endpoint> {
        let endpoint = self.endpoints.get_mut(&grant.endpoint)?;
        (endpoint.start == grant.start).then_some(endpoint)
    }

    /// Removes an endpoint. Requests that still run there end on their own.
    pub fn remove(&mut self, endpoint: &id::EndpointName) {
        self.endpoints.remove(endpoint);
        self.has_roster_change = true;
    }

    /// Handles a new request: grants it a slot, queues it or refuses it.
    pub fn submit(&mut self, now: Timestamp, request: PoolRequest) -> Admission {
        if request.version.as_ref().is_some_and(|version| !self.runs_version(version)) {
            return Admission::Refused(Refused { retry_after: self.params.least_retry_after });
        }
        let ticket = self.new_ticket();
        self.refresh_averages(now);
        self.recent_ranks.record(now, request.rank);
        let service_time = self.expected_service_time(request.prompt, request.expected_tokens);
        let position = self.queue.position(now, ticket, &request, service_time);
        // The request may get a free slot ahead of the queue: the waiting requests cannot use that slot (for
        // example, long prompts that wait for fast endpoints), or it would have been granted to them already.
        if let Some(grant) = self.grant(now, position.class(), &request) {
            return Admission::Granted(grant);
        }
        let refused = self.refusal(now, &request, &position);
        if (refused.is_some() || position.is_late())
            && let Some(grant) = self.grant_probe(now, &request)
        {
            return Admission::Granted(grant);
        }
        if let Some(refused) = refused {
            return Admission::Refused(refused);
        }
        self.grant_rates.start_waiting(now, position.class());
        self.queue.push(position, request, service_time);
        Admission::Queued(ticket)
    }

    /// Removes a request from the queue because its caller has left or its time is up.
    pub fn cancel(&mut self, now: Timestamp, ticket: Ticket) {
        if let Some(class) = self.queue.remove(ticket) {
            self.grant_rates.stop_waiting(now, class);
        }
    }

    /// Records that the first event or the answer of a request has arrived.
    pub fn record_first_event(&mut self, now: Timestamp, grant: &Grant, prompt: u32) {
        self.record_answer(now, grant);
        if let Some(endpoint) = self.granted_endpoint(grant) {
            endpoint.record_first_event(now, grant, prompt);
        }
    }

    /// Records the rate limit from an endpoint's answer, in requests per second; `None` if the endpoint
    /// sets no limit. Returns whether the limit has changed.
    pub fn note_rate_limit(&mut self, now: Timestamp, grant: &Grant, per_s: Option<f64>) -> bool {
        let endpoint = self.granted_endpoint(grant);
        let has_changed = endpoint.is_some_and(|endpoint| endpoint.rate_limit.note(now, per_s));
        if has_changed {
            let endpoint = grant.endpoint.clone();
            self.rate_limit_changes.push(RateLimitChange { endpoint, per_s });
        }
        has_changed
    }

    /// Records that an endpoint has said in an answer that it is about to stop; returns whether that is new.
    pub fn note_leaving(&mut self, now: Timestamp, grant: &Grant) -> bool {
        if let Some(endpoint) = self.granted_endpoint(grant) {
            endpoint.set_leaving();
        }
        self.restrictions.note_leaving(now, &grant.endpoint, grant.start)
    }

    /// Returns whether an endpoint has said that it is about to stop.
    pub fn is_leaving(&self, endpoint: &id::EndpointName) -> bool {
        self.endpoints.get(endpoint).is_some_and(|endpoint| endpoint.leaving)
    }

    /// Returns whether an endpoint takes requests from this host; also if it is not listed here.
    pub fn accepts_at(&self, now: Timestamp, name: &id::EndpointName) -> bool {
        self.endpoints.get(name).is_none_or(|endpoint| {
            !endpoint.leaving && self.restrictions.backoff(now, name, endpoint.start).is_none()
        })
    }

    /// Returns whether a request of this daemon may still be sent to the endpoint of its grant.
    pub fn accepts(&self, now: Timestamp, grant: &Grant) -> bool {
        !self.restrictions.is_leaving(&grant.endpoint, grant.start)
            && self.restrictions.backoff(now, &grant.endpoint, grant.start).is_none()
            && !self.is_leaving(&grant.endpoint)
    }

    /// Returns the endpoints that want no requests from this host now, and for how long. Other daemons may send
    /// to them.
    pub fn backing_off(&self, now: Timestamp) -> Vec<(id::EndpointName, std::time::Duration)> {
        let backoff = |(name, endpoint): (&id::EndpointName, &endpoint::Endpoint)| {
            let backoff = self.restrictions.backoff(now, name, endpoint.start)?;
            Some((name.clone(), backoff))
        };
        self.endpoints.iter().filter_map(backoff).collect()
    }

    /// Returns the time until the first endpoint takes requests of this host again, if all endpoints outside
    /// `tried` back off.
    pub fn shortest_backoff(
        &self,
        now: Timestamp,
        tried: &[id::EndpointName],
        version: Option<&id::VersionName>,
    ) -> Option<std::time::Duration> {
        let untried = self.untried(tried, version);
        let backoffs = untried.map(|(name, endpoint)| {
            self.restrictions.backoff(now, name, endpoint.start).unwrap_or_default()
        });
        backoffs.min().filter(|shortest| !shortest.is_zero())
    }

    /// Records that an endpoint has rejected a request and wants none from this host for a time of `length`.
    pub fn note_backoff(&mut self, now: Timestamp, grant: &Grant, length: std::time::Duration) {
        self.restrictions.note_backoff(now, &grant.endpoint, grant.start, now + length);
    }

    /// Returns the rate limit changes since the last call.
    pub fn take_rate_limit_changes(&mut self) -> Vec<RateLimitChange> {
        std::mem::take(&mut self.rate_limit_changes)
    }

    /// Records an event of a stream that arrived `gap` seconds after the one before.
    pub fn record_event(&mut self, now: Timestamp, grant: &Grant, gap: f64) {
        let tokens = f64::from(self.event_tokens.max(1));
        if let Some(endpoint) = self.granted_endpoint(grant) {
            endpoint.record_event(now, gap * 1_000.0 / tokens);
        }
    }

    /// Records how a granted request ended; `prompt` is 0 if its first event had arrived.
    pub fn end_request(&mut self, now: Timestamp, grant: &Grant, prompt: u32, outcome: Outcome) {
        let params = self.params.clone();
        if matches!(outcome, Outcome::Failed | Outcome::Lost) {
            self.record_failure(now, grant);
        }
        if let Some(endpoint) = self.granted_endpoint(grant) {
            endpoint.end_request(now, prompt, outcome, &params);
        }
    }

    /// Applies another daemon's load report. Returns whether a request has ended somewhere, so that a
    /// waiting request may get its slot.
    pub fn apply_report(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        report: &gateway::LoadReport,
    ) -> bool {
        let outcome = self.peer_loads.apply(now, peer, report, &mut self.endpoints);
        let peer_loads::ReportOutcome::Applied { has_freed } = outcome else { return false };
        for load in &report.endpoints {
            // Ignores reports about a start of the endpoint that is not known here or is over.
            let known = self.endpoints.get_mut(&load.endpoint);
            if let Some(endpoint) = known.filter(|known| known.start == load.start) {
                endpoint.apply_report(now, load, &self.params);
                if let Some(report) = &load.rate_limit
                    && endpoint.rate_limit.learn(now, report)
                {
                    let (endpoint, per_s) = (load.endpoint.clone(), report.per_s);
                    self.rate_limit_changes.push(RateLimitChange { endpoint, per_s });
                }
                self.versions.record_report(now, &endpoint.version, load);
            }
        }
        self.confirm_reservations(peer, report.placed);
        has_freed
    }

    /// Drops the load of daemons that have not repeated their reports in time, and expired reservations.
    pub fn expire_peers(&mut self, now: Timestamp) {
        self.peer_loads.expire(now, &mut self.endpoints);
        self.expire_reservations(now);
        self.record_busy(now);
    }

    /// Drops the load and the reservations of a daemon that is gone, is leaving or no longer reports.
    pub fn forget_peer(&mut self, peer: net::SocketAddr) {
        self.peer_loads.remove_peer(peer, &mut self.endpoints);
        self.confirm_reservations(peer, u64::MAX);
    }

    /// Returns this daemon's load at the endpoints and what it has learned since the last call: everything
    /// if `all` is set, else only what has changed.
    pub fn report(&mut self, now: Timestamp, all: bool) -> Vec<gateway::EndpointLoad> {
        let endpoints = self.endpoints.iter_mut();
        endpoints.filter_map(|(name, endpoint)| endpoint.take_report(now, name, all)).collect()
    }

    /// Returns whether this daemon has requests at an endpoint, or a rate limit or the leaving of an endpoint to
    /// repeat to the other daemons.
    pub fn has_work(&self, now: Timestamp) -> bool {
        self.endpoints.values().any(|endpoint| {
            endpoint.own.running > 0
                || endpoint.leaving
                || endpoint.rate_limit.report(now).is_some()
        })
    }

    /// Returns how long a request is expected to run at an endpoint of mean speed.
    pub fn expected_time(&self, prompt: u32, expected: f64) -> std::time::Duration {
        self.expected_service_time(prompt, expected).total
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of listed endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the estimated state of each endpoint, for logs and metrics.
    pub fn states(&self, now: Timestamp) -> Vec<EndpointState> {
        let state =
            |(name, endpoint): (&id::EndpointName, &endpoint::Endpoint)| endpoint.state(now, name);
        self.endpoints.iter().map(state).collect()
    }

    fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    /// Returns how long a request is expected to take.
    ///
    /// The time to the first event is that of the fastest endpoint, since a request is not late as long as
    /// any endpoint can serve it in time. The time to the end is that of an endpoint of mean speed.
    fn expected_service_time(&self, prompt: u32, expected: f64) -> queue::ServiceTime {
        let averages = self.averages;
        let prompt = f64::from(prompt);
        let read_ms = prompt * averages.prompt_ms;
        let first_ms =
            |endpoint: &endpoint::Endpoint| endpoint.overhead_ms() + prompt * endpoint.prompt_ms();
        let least_ms = self.endpoints.values().map(first_ms).fold(f64::INFINITY, f64::min);
        let ms = |ms: f64| std::time::Duration::from_secs_f64((ms / 1_000.0).clamp(0.0, 60.0));
        queue::ServiceTime {
            first_event: ms(if least_ms.is_finite() { least_ms } else { 0.0 }),
            total: ms(read_ms + expected * averages.step_ms),
        }
    }
}
