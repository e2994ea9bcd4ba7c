//! Whether endpoints under a planned stop have ended their work, by their own reports.
//!
//! A coordinator that died leaves its requests running, and nobody else counts them. So one daemon
//! asks each endpoint that is being stopped, from the moment the stop is in force everywhere.

use std::{collections, sync, time};

use tokio::{sync::watch, time::Instant};
use trefoildyke_decide::{config as decided, members as decide};
use trefoildyke_types::{id, resource};
use trefoildyke_wire::endpoint;
use xxhash_rust::xxh3;

use crate::{config, members};

/// How often an endpoint is asked.
const PERIOD: time::Duration = time::Duration::from_millis(500);
/// The most that an endpoint's report lags behind, in milliseconds.
const LAG_MS: u64 = 3_000;
/// After this time without any answer an endpoint counts as gone, with all its work.
const GONE: time::Duration = time::Duration::from_secs(10);

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug)]
enum Known {
    /// It may have work; the endpoint's time of its first report, and its last answer.
    Open { first_ms: Option<u64>, answered: Instant },
    /// It has ended all its work.
    Ended,
}

type Shared = sync::Arc<sync::Mutex<collections::HashMap<id::EndpointName, Known>>>;

/// Watches endpoints under a planned stop. Clones share what is known.
#[derive(Clone)]
pub(super) struct Drained {
    own: id::Incarnation,
    config: config::Handle,
    view: watch::Receiver<sync::Arc<decide::View>>,
    in_force: watch::Receiver<members::InForce>,
    known: Shared,
}

impl Drained {
    pub(super) fn new(
        own: id::Incarnation,
        config: config::Handle,
        members: &members::Handle,
    ) -> Self {
        let (view, in_force) = (members.subscribe(), members.in_force());
        Self { own, config, view, in_force, known: Shared::default() }
    }

    /// Returns whether this daemon has to ask the endpoint and it may still have work.
    pub(super) fn is_open(&self, endpoint: &id::EndpointName) -> bool {
        let ended = matches!(self.lock().get(endpoint), Some(Known::Ended));
        !ended && self.is_asked_here(endpoint)
    }

    /// Asks the endpoints that this daemon has to; runs for good.
    pub(super) async fn run(self) {
        loop {
            tokio::time::sleep(PERIOD).await;
            let stopped = self.stopped();
            self.lock().retain(|name, _| stopped.contains_key(name));
            for (name, spec) in &stopped {
                self.ask(name, spec).await;
            }
        }
    }

    /// Returns the endpoints whose stop is in force everywhere and that are asked here.
    fn stopped(&self) -> collections::BTreeMap<id::EndpointName, resource::EndpointSpec> {
        let snapshot = self.config.snapshot();
        let newest = newest_stop(&snapshot);
        if newest.is_none_or(|version| self.in_force.borrow().versions.config < version) {
            return collections::BTreeMap::new();
        }
        let endpoints = snapshot.of_kind(resource::Kind::Endpoint);
        let named = endpoints.filter_map(|resource| match &resource.spec {
            resource::Spec::Endpoint(spec) => Some((resource.name.as_str().into(), spec.clone())),
            _ => None,
        });
        named
            .filter(|(name, _)| snapshot.stops_endpoint(name) && self.is_asked_here(name))
            .collect()
    }

    fn is_asked_here(&self, endpoint: &id::EndpointName) -> bool {
        let key = xxh3::xxh3_64(endpoint.as_str().as_bytes());
        self.view.borrow().owner(key).is_none_or(|member| member.incarnation == self.own)
    }

    async fn ask(&self, name: &id::EndpointName, spec: &resource::EndpointSpec) {
        let fresh = Known::Open { first_ms: None, answered: Instant::now() };
        let known = *self.lock().entry(name.clone()).or_insert(fresh);
        let Known::Open { first_ms, answered } = known else {
            return;
        };
        let client = endpoint::EngineClient::new(spec.address, endpoint::Limits::default());
        let next = match client.load().await {
            Ok(report) => {
                let first_ms = first_ms.unwrap_or(report.as_of_ms);
                let is_after = report.as_of_ms >= first_ms.saturating_add(LAG_MS);
                match is_after && report.running == 0 && report.waiting == 0 {
                    true => Known::Ended,
                    false => Known::Open { first_ms: Some(first_ms), answered: Instant::now() },
                }
            }
            Err(_) if answered.elapsed() >= GONE => Known::Ended,
            Err(_) => known,
        };
        self.lock().insert(name.clone(), next);
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<id::EndpointName, Known>> {
        self.known.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns the version of the newest planned stop.
fn newest_stop(snapshot: &decided::Snapshot) -> Option<u64> {
    snapshot.of_kind(resource::Kind::PlannedStop).map(|stop| stop.resource_version).max()
}
