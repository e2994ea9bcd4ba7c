//! Polls endpoints under a planned stop, to find out whether they have finished their work.
//!
//! The requests of a coordinator that died go on running, and no other daemon counts them. So, from
//! the moment a stop is in force on every daemon, one daemon polls the load of each endpoint that
//! is being stopped.

use std::{collections, sync, time};

use tokio::{sync::watch, time::Instant};
use trefoildyke_decide::{config as decided, members as decide};
use trefoildyke_types::{id, resource};
use trefoildyke_wire::endpoint;
use xxhash_rust::xxh3;

use crate::{config, members};

/// The interval between the polls of an endpoint.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The longest delay of an endpoint's load report, in milliseconds.
const MAX_LAG_MS: u64 = 3_000;
/// The time without any answer after which an endpoint counts as gone, and all its work as ended.
const GONE_AFTER: time::Duration = time::Duration::from_secs(10);

/// The drain state of one endpoint.
#[derive(Clone, Copy, Debug)]
enum DrainState {
    /// The endpoint may have work. `first_ms` is the endpoint's own time in its first report, and
    /// `answered` is the time of its last answer.
    Busy { first_ms: Option<u64>, answered: Instant },
    /// The endpoint has finished all its work.
    Ended,
}

type Shared = sync::Arc<sync::Mutex<collections::HashMap<id::EndpointName, DrainState>>>;

/// Polls endpoints under a planned stop. Clones share the states.
#[derive(Clone)]
pub(super) struct DrainPoller {
    own: id::Incarnation,
    config: config::Handle,
    view: watch::Receiver<sync::Arc<decide::View>>,
    in_force: watch::Receiver<members::ReachedVersions>,
    states: Shared,
}

impl DrainPoller {
    pub(super) fn new(
        own: id::Incarnation,
        config: config::Handle,
        members: &members::Handle,
    ) -> Self {
        let (view, in_force) = (members.subscribe(), members.in_force());
        Self { own, config, view, in_force, states: Shared::default() }
    }

    /// Returns whether this daemon polls the endpoint and the endpoint may still have work.
    pub(super) fn is_busy(&self, endpoint: &id::EndpointName) -> bool {
        let ended = matches!(self.lock().get(endpoint), Some(DrainState::Ended));
        !ended && self.is_polled_here(endpoint)
    }

    /// Polls the endpoints that are assigned to this daemon; never returns.
    pub(super) async fn run(self) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let stopped = self.stopped();
            self.lock().retain(|name, _| stopped.contains_key(name));
            for (name, spec) in &stopped {
                self.poll(name, spec).await;
            }
        }
    }

    /// Returns the endpoints that this daemon polls and whose stop is in force on every daemon.
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
            .filter(|(name, _)| snapshot.stops_endpoint(name) && self.is_polled_here(name))
            .collect()
    }

    fn is_polled_here(&self, endpoint: &id::EndpointName) -> bool {
        let key = xxh3::xxh3_64(endpoint.as_str().as_bytes());
        self.view.borrow().owner(key).is_none_or(|member| member.incarnation == self.own)
    }

    async fn poll(&self, name: &id::EndpointName, spec: &resource::EndpointSpec) {
        let initial = DrainState::Busy { first_ms: None, answered: Instant::now() };
        let state = *self.lock().entry(name.clone()).or_insert(initial);
        let DrainState::Busy { first_ms, answered } = state else {
            return;
        };
        let client = endpoint::EngineClient::new(spec.address, endpoint::Limits::default());
        let new_state = match client.load().await {
            Ok(report) => {
                let first_ms = first_ms.unwrap_or(report.as_of_ms);
                let is_conclusive = report.as_of_ms >= first_ms.saturating_add(MAX_LAG_MS);
                match is_conclusive && report.running == 0 && report.waiting == 0 {
                    true => DrainState::Ended,
                    false => {
                        DrainState::Busy { first_ms: Some(first_ms), answered: Instant::now() }
                    }
                }
            }
            Err(_) if answered.elapsed() >= GONE_AFTER => DrainState::Ended,
            Err(_) => state,
        };
        self.lock().insert(name.clone(), new_state);
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<id::EndpointName, DrainState>> {
        self.states.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns the version of the newest planned stop, or `None` if there is none.
fn newest_stop(snapshot: &decided::Snapshot) -> Option<u64> {
    snapshot.of_kind(resource::Kind::PlannedStop).map(|stop| stop.resource_version).max()
}
