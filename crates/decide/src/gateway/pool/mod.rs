//! Order and place of the requests of one service, as one daemon decides them.

mod assumed;
mod demand;
mod endpoint;
mod flow;
mod kept;
mod line;
mod load;
mod mean;
mod params;
mod peers;
mod place;
mod promises;
mod queue;
mod ranks;
mod rate_limit;
mod rate_limit_change;
mod state;
mod token_bucket;
mod usual;
mod versions;
mod view;
mod wait;

use std::{collections, net};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

pub use demand::{Demand, Grant, Outcome, Refused, Settled, Ticket, Verdict};
pub use params::PoolParams;
pub use rate_limit_change::RateLimitChange;
pub use state::EndpointState;

/// Decides which requests go to which endpoint of a service, and when.
///
/// Engines admit in order of arrival and know no priority, so a request is sent only where a slot
/// is free, and waits here, where a more urgent one can still pass it. One daemon decides for all
/// that agree on it; what the others have sent it knows from their reports. Two daemons that decide
/// at once, since their members differ for a moment, cost short waits at the engines and nothing
/// else.
#[derive(Clone, Debug)]
pub struct Pool {
    params: PoolParams,
    /// Tokens in an event of a stream; 0 if the service runs no model.
    event_tokens: u32,
    endpoints: collections::BTreeMap<id::EndpointName, endpoint::Endpoint>,
    queue: queue::Queue,
    peers: peers::Peers,
    next_ticket: u64,
    flow: flow::Flow,
    ranks: ranks::Ranks,
    /// By daemon, the places that it was given, the oldest first.
    promises: collections::HashMap<net::SocketAddr, collections::VecDeque<promises::Promise>>,
    /// Which versions may run requests, and what is seen of them.
    versions: versions::Versions,
    /// What is usual among the endpoints.
    usual: usual::Usual,
    /// Whether endpoints were listed or removed since that was worked out.
    has_listed: bool,
    /// The rate limit changes since the last call of `take_rate_limit_changes`.
    rate_limit_changes: Vec<RateLimitChange>,
}

impl Pool {
    /// Creates a pool without endpoints.
    pub fn new(params: PoolParams, event_tokens: u32) -> Self {
        Self {
            params,
            event_tokens,
            endpoints: collections::BTreeMap::new(),
            queue: queue::Queue::default(),
            peers: peers::Peers::default(),
            next_ticket: 0,
            flow: flow::Flow::default(),
            ranks: ranks::Ranks::default(),
            promises: collections::HashMap::new(),
            versions: versions::Versions::default(),
            usual: usual::Usual::default(),
            has_listed: true,
            rate_limit_changes: Vec::new(),
        }
    }

    /// Takes in a changed service.
    pub const fn set_event_tokens(&mut self, event_tokens: u32) {
        self.event_tokens = event_tokens;
    }

    /// Takes in a listed endpoint.
    pub fn list(&mut self, now: Timestamp, entry: &gateway::RosterEntry) {
        match self.endpoints.get_mut(&entry.endpoint) {
            Some(endpoint) if endpoint.start == entry.start => endpoint.update(entry),
            _ => {
                self.peers.forget_endpoint(&entry.endpoint);
                let endpoint =
                    endpoint::Endpoint::new(now, entry, self.assumed(now), self.params.kept_tokens);
                self.endpoints.insert(entry.endpoint.clone(), endpoint);
            }
        }
        self.has_listed = true;
    }

    /// Returns the endpoint of a grant, unless it has started again since: what became of the grant says
    /// nothing of the new start, which has none of its work.
    fn granted(&mut self, grant: &Grant) -> Option<&mut endpoint::Endpoint> {
        let endpoint = self.endpoints.get_mut(&grant.endpoint)?;
        (endpoint.start == grant.start).then_some(endpoint)
    }

    /// Forgets an endpoint; work that it still has ends by itself.
    pub fn remove(&mut self, endpoint: &id::EndpointName) {
        self.endpoints.remove(endpoint);
        self.has_listed = true;
    }

    /// Takes in a new request: grants it a place, queues it or refuses it.
    pub fn arrive(&mut self, now: Timestamp, demand: Demand) -> Verdict {
        let ticket = self.new_ticket();
        self.refresh(now);
        self.ranks.note(now, demand.rank);
        let service = self.expected_service(demand.prompt, demand.expected);
        let place = self.queue.place(now, ticket, &demand, service);
        // What waits could not use what is free, or would have it: long prompts wait for fast endpoints.
        if let Some(grant) = self.grant(now, place.class(), &demand) {
            return Verdict::Granted(grant);
        }
        if let Some(refused) = self.hopeless(now, &demand, &place) {
            return Verdict::Refused(refused);
        }
        self.flow.queued(now, place.class());
        self.queue.push(place, demand, service);
        Verdict::Queued(ticket)
    }

    /// Takes a request out of the queue: its caller has left or its time is up.
    pub fn give_up(&mut self, now: Timestamp, ticket: Ticket) {
        if let Some(class) = self.queue.take(ticket) {
            self.flow.left(now, class);
        }
    }

    /// Notes that the first event or the answer of a request has come.
    pub fn first(&mut self, now: Timestamp, grant: &Grant, prompt: u32) {
        self.note_answer(now, grant);
        if let Some(endpoint) = self.granted(grant) {
            endpoint.first(now, grant, prompt);
        }
    }

    /// Records the rate limit from an endpoint's answer, in requests per second; `None` if the endpoint
    /// sets no limit. Returns whether the limit has changed.
    pub fn note_rate_limit(&mut self, now: Timestamp, grant: &Grant, per_s: Option<f64>) -> bool {
        let endpoint = self.granted(grant);
        let has_changed = endpoint.is_some_and(|endpoint| endpoint.rate_limit.note(now, per_s));
        if has_changed {
            let endpoint = grant.endpoint.clone();
            self.rate_limit_changes.push(RateLimitChange { endpoint, per_s });
        }
        has_changed
    }

    /// Returns the rate limit changes since the last call.
    pub fn take_rate_limit_changes(&mut self) -> Vec<RateLimitChange> {
        std::mem::take(&mut self.rate_limit_changes)
    }

    /// Notes an event of a stream that came `gap` seconds after the one before.
    pub fn event(&mut self, now: Timestamp, grant: &Grant, gap: f64) {
        let tokens = f64::from(self.event_tokens.max(1));
        if let Some(endpoint) = self.granted(grant) {
            endpoint.event(now, gap * 1_000.0 / tokens);
        }
    }

    /// Notes how a granted request ended; `prompt` is 0 if its first event had come.
    pub fn end(&mut self, now: Timestamp, grant: &Grant, prompt: u32, outcome: Outcome) {
        let params = self.params.clone();
        if matches!(outcome, Outcome::Failed | Outcome::Lost) {
            self.note_failure(now, grant);
        }
        if let Some(endpoint) = self.granted(grant) {
            endpoint.end(now, prompt, outcome, &params);
        }
    }

    /// Takes in what another daemon has at this service; says whether a request has ended somewhere, so that one that
    /// waits may have its place.
    pub fn note_peer(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        report: &gateway::LoadReport,
    ) -> bool {
        let noted = self.peers.note(now, peer, report, &mut self.endpoints);
        let peers::Noted::Taken { has_freed } = noted else { return false };
        for load in &report.endpoints {
            // A start that is not known here, or over, is none of the endpoints that are.
            let known = self.endpoints.get_mut(&load.endpoint);
            if let Some(endpoint) = known.filter(|known| known.start == load.start) {
                endpoint.learn(now, load, &self.params);
                if let Some(report) = &load.rate_limit
                    && endpoint.rate_limit.learn(now, report)
                {
                    let (endpoint, per_s) = (load.endpoint.clone(), report.per_s);
                    self.rate_limit_changes.push(RateLimitChange { endpoint, per_s });
                }
                self.versions.note_told(now, &endpoint.version, load);
            }
        }
        self.redeem(peer, report.placed);
        has_freed
    }

    /// Forgets the work of daemons that have not repeated their reports for too long, and places that were not taken.
    pub fn expire_peers(&mut self, now: Timestamp) {
        self.peers.expire(now, &mut self.endpoints);
        self.lapse(now);
        self.note_busy(now);
    }

    /// Forgets a daemon that is gone, leaves or says nothing more.
    pub fn forget_peer(&mut self, peer: net::SocketAddr) {
        self.peers.forget(peer, &mut self.endpoints);
        self.redeem(peer, u64::MAX);
    }

    /// Returns what this daemon has at the endpoints and has learned since the last call: all, or only where
    /// something has changed.
    pub fn report(&mut self, now: Timestamp, all: bool) -> Vec<gateway::EndpointLoad> {
        let endpoints = self.endpoints.iter_mut();
        endpoints.filter_map(|(name, endpoint)| endpoint.tell(now, name, all)).collect()
    }

    /// Says whether this daemon has work at an endpoint, or a rate limit to repeat to the other
    /// daemons.
    pub fn has_work(&self, now: Timestamp) -> bool {
        self.endpoints
            .values()
            .any(|endpoint| endpoint.own.running > 0 || endpoint.rate_limit.report(now).is_some())
    }

    /// Returns how long a request is expected to run at an endpoint of mean speed.
    pub fn expected_time(&self, prompt: u32, expected: f64) -> std::time::Duration {
        self.expected_service(prompt, expected).whole
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many endpoints are listed.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Says whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns what is believed of each endpoint, for logs and metrics.
    pub fn states(&self, now: Timestamp) -> Vec<EndpointState> {
        let state =
            |(name, endpoint): (&id::EndpointName, &endpoint::Endpoint)| endpoint.state(now, name);
        self.endpoints.iter().map(state).collect()
    }

    fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    /// Returns how long a request is expected to take: to its first event where that is shortest, as nothing is
    /// late before no endpoint can be in time; to its end at an endpoint of mean speed.
    fn expected_service(&self, prompt: u32, expected: f64) -> queue::Service {
        let usual = self.usual;
        let prompt = f64::from(prompt);
        let read = prompt * usual.prompt_ms;
        let first =
            |endpoint: &endpoint::Endpoint| endpoint.begin_ms() + prompt * endpoint.prompt_ms();
        let least = self.endpoints.values().map(first).fold(f64::INFINITY, f64::min);
        let ms = |ms: f64| std::time::Duration::from_secs_f64((ms / 1_000.0).clamp(0.0, 60.0));
        queue::Service {
            first: ms(if least.is_finite() { least } else { 0.0 }),
            whole: ms(read + expected * usual.step_ms),
        }
    }
}
