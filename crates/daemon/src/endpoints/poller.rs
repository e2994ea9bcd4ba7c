//! When one endpoint is called next.

use std::{net, time};

use trefoildyke_types::{id, resource};
use trefoildyke_wire::endpoint;

use crate::endpoints::{self, polled};

/// Holds the client and the next calls of one endpoint.
#[derive(Debug)]
pub(super) struct Poller {
    client: endpoint::EngineClient,
    has_cache: bool,
    /// Whether a load call, or a cache call, is in progress; at most one of each at a time.
    loading: bool,
    paging: bool,
    next_load: tokio::time::Instant,
    next_cache: tokio::time::Instant,
    /// The `after` of the next reading of cache events.
    after: u64,
}

/// What to call an endpoint for.
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
            loading: false,
            paging: false,
            next_load: now,
            next_cache: now,
            after: 0,
        }
    }

    pub(super) fn address(&self) -> net::SocketAddr {
        self.client.address()
    }

    /// Asks for a load report as soon as possible.
    pub(super) fn hurry(&mut self) {
        self.next_load = tokio::time::Instant::now();
    }

    /// Returns the calls that are due and marks them as in progress.
    pub(super) fn due(
        &mut self,
        now: tokio::time::Instant,
        settings: &endpoints::Settings,
    ) -> Vec<Call> {
        let mut calls = Vec::new();
        if !self.loading && now >= self.next_load {
            self.loading = true;
            self.next_load = later(now, settings.load_interval());
            calls.push(Call::Load);
        }
        if self.has_cache && !self.paging && now >= self.next_cache {
            self.paging = true;
            self.next_cache = later(now, settings.cache_interval());
            calls.push(Call::Cache { after: self.after });
        }
        calls
    }

    pub(super) fn loaded(&mut self) {
        self.loading = false;
    }

    /// Notes the end of a reading of cache events, which goes on at `next`.
    pub(super) fn paged(&mut self, next: Option<u64>) {
        self.paging = false;
        self.after = next.unwrap_or(self.after);
    }

    /// Returns the future that carries out a call.
    pub(super) fn call(
        &self,
        endpoint: id::EndpointName,
        call: Call,
    ) -> impl Future<Output = polled::Polled> + Send + 'static {
        let client = self.client.clone();
        async move {
            let answer = match call {
                Call::Load => polled::Answer::Load(client.load().await),
                Call::Cache { after } => polled::Answer::Cache(client.cache_events(after).await),
            };
            polled::Polled { endpoint, answer }
        }
    }
}

/// Returns a time around `interval` later, so that calls to many endpoints spread out.
fn later(now: tokio::time::Instant, interval: time::Duration) -> tokio::time::Instant {
    now + interval.mul_f64(rand::random_range(0.9..1.1))
}
