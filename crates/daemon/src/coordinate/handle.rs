//! The coordinator's handle for other services, and the context that all requests share.

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

/// How often finished answers that have exceeded their bounds are removed.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The dependencies of the coordinator.
pub struct Dependencies {
    /// Limits and bounds.
    pub settings: settings::Coordinate,
    /// The clock that decisions use.
    pub clock: clock::Clock,
    /// The calls to other coordinators.
    pub peer_calls: service::PeerCalls,
    /// The configuration.
    pub config: config::Handle,
    /// The platform's host list.
    pub hosts: hosts::Handle,
    /// The records of requests.
    pub intents: intents::Handle,
    /// The schedulers.
    pub schedule: schedule::Handle,
    /// Whether this daemon is isolated.
    pub isolation: service::Isolation,
    /// Admits requests until a graceful stop closes it.
    pub gate: kernel::Gate,
    /// Spawns tasks on the traffic threads.
    pub scope: kernel::Scope,
    /// The timeline.
    pub timeline: timeline::Handle,
    /// The metrics.
    pub metrics: metrics::Handle,
}

/// The context that all requests of this daemon share.
pub(super) struct Context {
    pub(super) settings: settings::Coordinate,
    pub(super) clock: clock::Clock,
    pub(super) peer_calls: service::PeerCalls,
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
    pub(super) in_flight: service::in_flight::InFlight,
}

/// A handle to submit requests and resume answers; published as `coordinate`. Clones share the coordinator.
#[derive(Clone)]
pub struct Handle {
    pub(super) context: sync::Arc<Context>,
}

impl Handle {
    /// Creates the coordinator.
    pub fn new(dependencies: Dependencies) -> Self {
        let context = Context {
            table: service::table::Table::new(dependencies.settings),
            clients: service::clients::Clients::default(),
            in_flight: service::in_flight::InFlight::default(),
            settings: dependencies.settings,
            clock: dependencies.clock,
            peer_calls: dependencies.peer_calls,
            config: dependencies.config,
            hosts: dependencies.hosts,
            intents: dependencies.intents,
            schedule: dependencies.schedule,
            isolation: dependencies.isolation,
            gate: dependencies.gate,
            scope: dependencies.scope,
            timeline: dependencies.timeline,
            metrics: dependencies.metrics,
        };
        Self { context: sync::Arc::new(context) }
    }

    /// Returns the calls that the HTTP API for callers makes to this coordinator.
    pub fn caller_calls(&self) -> callers::Coordinator {
        let submit_handle = self.clone();
        let resume_handle = self.clone();
        callers::Coordinator {
            submit: sync::Arc::new(move |submission| {
                futures::future::ready(submit_handle.submit(submission)).boxed()
            }),
            resume: sync::Arc::new(move |key, offset| {
                let resume_handle = resume_handle.clone();
                async move { resume_handle.resume(key, offset).await }.boxed()
            }),
        }
    }

    /// Registers the method through which peers read answers.
    pub fn serve_peers(&self, methods: &mut peer::Methods) {
        let handle = self.clone();
        methods.read = peer::Methods::method(move |_, request: peer::ReadRequest| {
            let entry = handle.context.table.get(&request.key);
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
        self.context.in_flight.is_busy(endpoint)
    }

    /// Stops accepting requests, refuses those that are not dispatched yet and lets the others finish.
    pub fn stop(&self) {
        self.context.gate.close();
        for entry in self.context.table.running() {
            entry.signal(coordinate::Input::Stop);
        }
    }

    /// Removes finished answers that have exceeded their bounds, periodically; never returns.
    pub async fn sweep(self) -> Result<(), convert::Infallible> {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.context.table.sweep();
        }
    }
}

impl Context {
    /// Returns the configuration of an endpoint.
    pub(super) fn endpoint(&self, name: &id::EndpointName) -> Option<resource::EndpointSpec> {
        self.config.snapshot().endpoint(name).cloned()
    }

    /// Returns whether an endpoint accepts new work, as far as this daemon knows.
    ///
    /// An isolated daemon cannot know this and uses no endpoint.
    pub(super) fn accepts_work(&self, name: &id::EndpointName) -> bool {
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

    /// Returns the pool shard that schedules a request.
    ///
    /// Prompts with the same first block go to the same shard, prompts without blocks to a random one.
    pub(super) fn shard(&self, submission: &callers::Submission) -> endpoints::Shard {
        let pool = submission.spec.pool.clone();
        let snapshot = self.config.snapshot();
        let shards = snapshot.pool(&pool).map_or(1, |pool| pool.shards.max(1));
        // A request that crashes endpoints is recognised by the scheduler that ran it before, so that its
        // repeats must come to the same shard.
        let content = || coordinate::fingerprint(&submission.spec);
        let hash = submission.spec.prefix.first().copied().unwrap_or_else(content);
        let number = u16::try_from(hash % u64::from(shards)).unwrap_or(0);
        endpoints::Shard { pool, number }
    }
}
