//! How the schedule service asks for more than the regular readings.

use std::{
    sync::{self, atomic},
    time,
};

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::{config, schedule};
use trefoildyke_types::id;

use crate::{endpoints, hosts};

const PROBES: usize = 64;
/// Reviews come ten times a second.
const REVIEW_LIMIT: time::Duration = time::Duration::from_secs(1);

/// Asks a shard's watcher for fresh load reports. Clones ask the same watcher.
#[derive(Clone, Debug)]
pub struct Handle {
    probes: mpsc::Sender<id::EndpointName>,
    origin: tokio::time::Instant,
    /// When the standings were reviewed last, in microseconds since `origin`.
    reviewed: sync::Arc<atomic::AtomicU64>,
}

/// Creates the watch over one shard: the handle and the watcher to run.
///
/// The watcher sends what the shard's scheduler must know to `feed`, with times counted from
/// `origin`, which the scheduler's own times must be counted from as well.
pub fn new(
    settings: endpoints::Settings,
    shard: endpoints::Shard,
    config: watch::Receiver<sync::Arc<config::Snapshot>>,
    hosts: &hosts::Handle,
    origin: tokio::time::Instant,
    feed: mpsc::Sender<schedule::Input>,
) -> (Handle, endpoints::Watcher) {
    let (probes, probed) = mpsc::channel(PROBES);
    let sources = endpoints::watcher::Sources { config, hosts: hosts.subscribe(), probes: probed };
    let reviewed = sync::Arc::new(atomic::AtomicU64::new(0));
    let shared = sync::Arc::clone(&reviewed);
    let watcher = endpoints::Watcher::new(settings, shard, sources, origin, feed, shared);
    (Handle { probes, origin, reviewed }, watcher)
}

impl Handle {
    /// Returns whether what the watcher has fed in so far may be relied on.
    ///
    /// That is not so before the first review and after a pause of this process, until the watcher
    /// has looked again; a scheduler that grants then could choose an endpoint that has left.
    pub fn is_current(&self) -> bool {
        let reviewed = time::Duration::from_micros(self.reviewed.load(atomic::Ordering::Acquire));
        !reviewed.is_zero() && self.origin.elapsed().saturating_sub(reviewed) < REVIEW_LIMIT
    }

    /// Asks for a fresh load report of an endpoint, which the watcher feeds in when it comes.
    pub fn probe(&self, endpoint: &id::EndpointName) {
        // A probe that finds the channel full is one too many: others are on their way.
        let _ = self.probes.try_send(endpoint.clone());
    }
}
