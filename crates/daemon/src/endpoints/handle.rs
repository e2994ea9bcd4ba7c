//! The handle through which the schedule service requests extra load reports.

use std::{
    sync::{self, atomic},
    time,
};

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::{config, schedule};
use trefoildyke_types::id;

use crate::{endpoints, hosts};

const PROBE_CAPACITY: usize = 64;
/// The age from which the last tick is outdated; ticks run ten times a second.
const MAX_TICK_AGE: time::Duration = time::Duration::from_secs(1);

/// A handle to the watcher of one shard. Clones share the watcher.
#[derive(Clone, Debug)]
pub struct Handle {
    probes: mpsc::Sender<id::EndpointName>,
    origin: tokio::time::Instant,
    /// The time of the last tick of the endpoints' states, in microseconds since `origin`.
    last_tick: sync::Arc<atomic::AtomicU64>,
}

/// Creates the handle and the watcher of one shard; the caller runs the watcher.
///
/// The watcher sends inputs for the shard's scheduler to `feed`. Their times count from `origin`, and
/// so must the scheduler's own times.
pub fn new(
    settings: endpoints::Settings,
    shard: endpoints::Shard,
    config: watch::Receiver<sync::Arc<config::Snapshot>>,
    hosts: &hosts::Handle,
    origin: tokio::time::Instant,
    feed: mpsc::Sender<schedule::Input>,
) -> (Handle, endpoints::Watcher) {
    let (probes, probe_receiver) = mpsc::channel(PROBE_CAPACITY);
    let sources =
        endpoints::watcher::Sources { config, hosts: hosts.subscribe(), probes: probe_receiver };
    let last_tick = sync::Arc::new(atomic::AtomicU64::new(0));
    let shared = sync::Arc::clone(&last_tick);
    let watcher = endpoints::Watcher::new(settings, shard, sources, origin, feed, shared);
    (Handle { probes, origin, last_tick }, watcher)
}

impl Handle {
    /// Returns whether the inputs that the watcher has sent are current.
    ///
    /// They are not current before the first tick, nor between a pause of this process and the next
    /// tick. A scheduler that grants a permit then could choose an endpoint that has left.
    pub fn is_current(&self) -> bool {
        let last_tick = time::Duration::from_micros(self.last_tick.load(atomic::Ordering::Acquire));
        !last_tick.is_zero() && self.origin.elapsed().saturating_sub(last_tick) < MAX_TICK_AGE
    }

    /// Requests a new load report of an endpoint; the watcher sends it to the scheduler on arrival.
    pub fn probe(&self, endpoint: &id::EndpointName) {
        // If the channel is full, the probe is dropped, because enough probes are queued already.
        let _ = self.probes.try_send(endpoint.clone());
    }
}
