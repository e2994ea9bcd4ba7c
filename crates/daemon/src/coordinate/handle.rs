//! What the other services use, and what the requests share.

use std::{convert, sync, time};

use futures::FutureExt;
use trefoildyke_decide::coordinate;
use trefoildyke_kernel as kernel;
use trefoildyke_types::{id, resource};
use trefoildyke_wire::{peer, platform::message};

use crate::{
    callers, clock, config, coordinate as service, endpoints, hosts, intents, metrics, schedule,
    settings, timeline,
};

/// How often answers that were kept long enough are looked for.
const SWEEP: time::Duration = time::Duration::from_secs(1);

/// Holds what the coordinator builds on.
pub struct Sources {
    /// Limits and bounds.
    pub settings: settings::Coordinate,
    /// The clock of the decisions.
    pub clock: clock::Clock,
    /// How other coordinators are reached.
    pub links: service::Links,
    /// The configuration.
    pub config: config::Handle,
    /// The platform's list.
    pub hosts: hosts::Handle,
    /// The records.
    pub intents: intents::Handle,
    /// The schedulers.
    pub schedule: schedule::Handle,
    /// Whether this daemon is cut off.
    pub isolation: service::Isolation,
    /// Closed by a graceful stop.
    pub gate: kernel::Gate,
    /// The traffic threads.
    pub scope: kernel::Scope,
    /// The time line.
    pub timeline: timeline::Handle,
    /// Measurements.
    pub metrics: metrics::Handle,
}

/// What all requests of this daemon share.
pub(super) struct Context {
    pub(super) settings: settings::Coordinate,
    pub(super) clock: clock::Clock,
    pub(super) links: service::Links,
    pub(super) config: config::Handle,
    pub(super) hosts: hosts::Handle,
    pub(super) intents: intents::Handle,
    pub(super) schedule: schedule::Handle,
    pub(super) isolation: service::Isolation,
    pub(super) gate: kernel::Gate,
    pub(super) scope: kernel::Scope,
    pub(super) timeline: timeline::Handle,
    pub(super) metrics: metrics::Handle,
    pub(super) table: service::table::Table,
    pub(super) clients: service::clients::Clients,
    pub(super) busy: service::busy::Busy,
}

/// Takes requests and returns to answers; published as `coordinate`.
#[derive(Clone)]
pub struct Handle {
    pub(super) context: sync::Arc<Context>,
}

impl Handle {
    /// Creates the coordinator.
    pub fn new(sources: Sources) -> Self {
        let context = Context {
            table: service::table::Table::new(sources.settings),
            clients: service::clients::Clients::default(),
            busy: service::busy::Busy::default(),
            settings: sources.settings,
            clock: sources.clock,
            links: sources.links,
            config: sources.config,
            hosts: sources.hosts,
            intents: sources.intents,
            schedule: sources.schedule,
            isolation: sources.isolation,
            gate: sources.gate,
            scope: sources.scope,
            timeline: sources.timeline,
            metrics: sources.metrics,
        };
        Self { context: sync::Arc::new(context) }
    }

    /// Returns the ways in for the callers' face.
    pub fn ways_in(&self) -> callers::Coordinator {
        let here = self.clone();
        let there = self.clone();
        callers::Coordinator {
            submit: sync::Arc::new(move |submission| {
                futures::future::ready(here.submit(submission)).boxed()
            }),
            resume: sync::Arc::new(move |key, offset| {
                let there = there.clone();
                async move { there.resume(key, offset).await }.boxed()
            }),
        }
    }

    /// Serves the calls of peers that concern answers.
    pub fn serve_peers(&self, methods: &mut peer::Methods) {
        let here = self.clone();
        methods.read = peer::Methods::method(move |_, request: peer::ReadRequest| {
            let entry = here.context.table.get(&request.key);
            async move {
                match entry {
                    Some(entry) => Ok(service::reader::read(entry, &request).await),
                    None => Ok(peer::ReadAnswer::Unknown),
                }
            }
        });
    }

    /// Returns whether a request of this daemon is in progress at the endpoint.
    pub fn is_busy(&self, endpoint: &id::EndpointName) -> bool {
        self.context.busy.is_busy(endpoint)
    }

    /// Takes no new requests, refuses those that wait and lets the others finish.
    pub fn stop(&self) {
        self.context.gate.close();
        for entry in self.context.table.running() {
            entry.signal(coordinate::Input::Stop);
        }
    }

    /// Forgets answers that were kept long enough; runs for good.
    pub async fn sweep(self) -> Result<(), convert::Infallible> {
        loop {
            tokio::time::sleep(SWEEP).await;
            self.context.table.sweep();
        }
    }
}

impl Context {
    /// Returns what the configuration says of an endpoint.
    pub(super) fn endpoint(&self, name: &id::EndpointName) -> Option<resource::EndpointSpec> {
        self.config.snapshot().endpoint(name).cloned()
    }

    /// Returns whether an endpoint takes new work, as this daemon knows.
    ///
    /// A daemon that is cut off cannot know, and uses none.
    pub(super) fn takes_work(&self, name: &id::EndpointName) -> bool {
        if self.isolation.is_isolated() {
            return false;
        }
        let snapshot = self.config.snapshot();
        let Some(spec) = snapshot.endpoint(name) else { return false };
        if snapshot.stops_endpoint(name) {
            return false;
        }
        self.hosts.list().is_none_or(|list| {
            let mut hosts = list.hosts.iter();
            !hosts.any(|host| host.host == spec.host && host.state == message::HostState::Leaving)
        })
    }

    /// Returns the pool shard that a request goes to: prompts that begin alike go to the same.
    pub(super) fn shard(&self, submission: &callers::Submission) -> endpoints::Shard {
        let pool = submission.spec.pool.clone();
        let snapshot = self.config.snapshot();
        let shards = snapshot.pool(&pool).map_or(1, |pool| pool.shards.max(1));
        let hash = submission.spec.prefix.first().copied().unwrap_or_else(rand::random);
        let number = u16::try_from(hash % u64::from(shards)).unwrap_or(0);
        endpoints::Shard { pool, number }
    }
}
