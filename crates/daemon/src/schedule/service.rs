//! Creating and running the schedule service.

use std::{collections, sync};

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::config;
use trefoildyke_kernel as kernel;

use crate::{
    clock, endpoints, hosts,
    schedule::{Handle, SchedulerCalls, Settings, local, outbox},
};

/// The inputs of the schedule service.
pub struct Sources {
    /// The clock that the schedulers use.
    pub clock: clock::Clock,
    /// How schedulers are found and reached.
    pub scheduler_calls: SchedulerCalls,
    /// The configuration.
    pub config: watch::Receiver<sync::Arc<config::Snapshot>>,
    /// The platform's host list.
    pub hosts: hosts::Handle,
    /// Settings of the endpoint watchers.
    pub endpoints: endpoints::Settings,
    /// The control thread, on which the schedulers run.
    pub scope: kernel::Scope,
}

/// The task that sends reports to the schedulers; run it on the control thread.
#[must_use = "nothing is reported until the service runs"]
pub struct Service {
    outbox: outbox::Outbox,
}

/// Creates the service and its handle.
pub fn create(settings: Settings, sources: Sources) -> (Handle, Service) {
    let local = sync::Arc::new(local::LocalShards {
        settings: settings.clone(),
        endpoints: sources.endpoints,
        clock: sources.clock,
        scheduler_calls: sources.scheduler_calls.clone(),
        config: sources.config,
        hosts: sources.hosts,
        scope: sources.scope,
        actors: sync::Mutex::new(collections::HashMap::new()),
    });
    let (events, event_receiver) = mpsc::unbounded_channel();
    let (informed, informed_receiver) = watch::channel(outbox::Informed::new());
    let outbox = outbox::Outbox {
        settings: settings.clone(),
        scheduler_calls: sources.scheduler_calls.clone(),
        local: sync::Arc::clone(&local),
        events: event_receiver,
        informed,
    };
    let handle = Handle {
        settings,
        clock: sources.clock,
        scheduler_calls: sources.scheduler_calls,
        local,
        events,
        informed: informed_receiver,
    };
    (handle, Service { outbox })
}

impl Service {
    /// Runs until every handle is dropped; dropping the future cancels it.
    pub async fn run(self) {
        self.outbox.run().await;
    }
}
