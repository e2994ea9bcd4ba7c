//! The schedule of the calls to one endpoint.

use std::{net, time};

use trefoildyke_types::{id, resource};
use trefoildyke_wire::endpoint;

use crate::endpoints::{self, poll_result};

/// The client of one endpoint and the times of its next calls.
#[derive(Debug)]
pub(super) struct Poller {
    client: endpoint::EngineClient,
    has_cache: bool,
    /// Whether a load call is in progress; at most one at a time.
    load_in_progress: bool,
    /// Whether a cache call is in progress; at most one at a time.
    cache_in_progress: bool,
    next_load: tokio::time::Instant,
    next_cache: tokio::time::Instant,
    /// The position in the cache events from which the next call reads on.
    after: u64,
}

/// A call to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    Load,
    Cache { after: u64 },
}

impl Poller {
    pub(super) fn new(
        spec: &resource::EndpointSpec,
        has_cache: bool,
        settings: &endpoints::Settings,
    ) -> Self {
        let answer = settings.answer();
        let limits = endpoint::Limits { connect: answer, answer, ..Default::default() };
        let now = tokio::time::Instant::now();
        Self {
            client: endpoint::EngineClient::new(spec.address, limits),
            has_cache,
            load_in_progress: false,
            cache_in_progress: false,
            next_load: now,
            next_cache: now,
            after: 0,
        }
    }

    pub(super) fn address(&self) -> net::SocketAddr {
        self.client.address()
    }

    /// Makes the next load call due now.
    pub(super) fn request_load(&mut self) {
        self.next_load = tokio::time::Instant::now();
    }

    /// Returns the calls that are due and marks them as in progress.
    pub(super) fn due(
        &mut self,
        now: tokio::time::Instant,
        settings: &endpoints::Settings,
    ) -> Vec<Call> {
        let mut calls = Vec::new();
        if !self.load_in_progress && now >= self.next_load {
            self.load_in_progress = true;
            self.next_load = next_call_at(now, settings.load_interval());
            calls.push(Call::Load);
        }
        if self.has_cache && !self.cache_in_progress && now >= self.next_cache {
            self.cache_in_progress = true;
            self.next_cache = next_call_at(now, settings.cache_interval());
            calls.push(Call::Cache { after: self.after });
        }
        calls
    }

    pub(super) fn load_ended(&mut self) {
        self.load_in_progress = false;
    }

    /// Records the end of a cache call; the next one reads on from `next`, or from the same position if
    /// it is `None`.
    pub(super) fn cache_ended(&mut self, next: Option<u64>) {
        self.cache_in_progress = false;
        self.after = next.unwrap_or(self.after);
    }

    /// Returns the future that makes a call.
    pub(super) fn call(
        &self,
        endpoint: id::EndpointName,
        call: Call,
    ) -> impl Future<Output = poll_result::PollResult> + Send + 'static {
        let client = self.client.clone();
        async move {
            let answer = match call {
                Call::Load => poll_result::Answer::Load(client.load().await),
                Call::Cache { after } => {
                    poll_result::Answer::Cache(client.cache_events(after).await)
                }
            };
            poll_result::PollResult { endpoint, answer }
        }
    }
}

/// Returns `now` plus `interval` with jitter, so that calls to many endpoints spread out.
fn next_call_at(now: tokio::time::Instant, interval: time::Duration) -> tokio::time::Instant {
    now + interval.mul_f64(rand::random_range(0.9..1.1))
}
