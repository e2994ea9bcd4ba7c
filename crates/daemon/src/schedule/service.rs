//! The parts of the schedule service that its owner runs.

use std::{collections, sync};

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::config;
use trefoildyke_kernel as kernel;

use crate::{
    clock, endpoints, hosts,
    schedule::{Handle, Links, Settings, local, outbox},
};

/// Holds what the schedule service builds on.
pub struct Sources {
    /// The clock of the decisions.
    pub clock: clock::Clock,
    /// How schedulers are found and reached.
    pub links: Links,
    /// The configuration.
    pub config: watch::Receiver<sync::Arc<config::Snapshot>>,
    /// The platform's list.
    pub hosts: hosts::Handle,
    /// Settings of the watch over endpoints.
    pub endpoints: endpoints::Settings,
    /// The control thread, on which shards are scheduled.
    pub scope: kernel::Scope,
}

/// Sends reports; run it on the control thread.
#[must_use = "nothing is reported until the service runs"]
pub struct Service {
    outbox: outbox::Outbox,
}

/// Creates the service and its handle.
pub fn create(settings: Settings, sources: Sources) -> (Handle, Service) {
    let local = sync::Arc::new(local::Local {
        settings: settings.clone(),
        endpoints: sources.endpoints,
        clock: sources.clock,
        links: sources.links.clone(),
        config: sources.config,
        hosts: sources.hosts,
        scope: sources.scope,
        actors: sync::Mutex::new(collections::HashMap::new()),
    });
    let (notes, posted) = mpsc::unbounded_channel();
    let outbox = outbox::Outbox {
        settings: settings.clone(),
        links: sources.links.clone(),
        local: sync::Arc::clone(&local),
        notes: posted,
    };
    let handle = Handle { settings, clock: sources.clock, links: sources.links, local, notes };
    (handle, Service { outbox })
}

impl Service {
    /// Runs until every handle is gone; cancel it by dropping the future.
    pub async fn run(self) {
        self.outbox.run().await;
    }
}
