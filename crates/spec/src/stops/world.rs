//! The state of the model of planned stops.

use std::sync;

use trefoildyke_decide::{config, coordinate, stops};
use trefoildyke_types::{id, resource};

use crate::{invariant::Invariant, stops::Bounds};

/// The configuration version that contains the stop; the version before it creates the endpoint.
pub(super) const STOP: u64 = 2;
/// The name of the endpoint.
pub(super) const ENDPOINT: &str = "e";

/// One daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Daemon {
    /// Whether the daemon is alive.
    pub alive: bool,
    /// Whether the daemon is cut off from the service and all peers.
    pub cut: bool,
    /// The configuration version in force.
    pub version: u64,
    /// The daemon's request, once it has arrived.
    pub request: Option<coordinate::RequestState>,
    /// The version that the daemon last reported as settled.
    pub settled: u64,
}

/// The complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// Whether the stop was accepted.
    pub accepted: bool,
    /// Whether the bound has passed since the stop was accepted.
    pub passed: bool,
    /// The daemons; states in which a daemon is equal share its allocation.
    pub daemons: Vec<sync::Arc<Daemon>>,
    /// The daemons whose requests run at the endpoint, by index.
    pub running: Vec<usize>,
    /// Whether a request was dispatched after the bound.
    pub late: bool,
    /// Whether the operator has removed the endpoint.
    pub stopped: bool,
}

impl World {
    /// Creates the initial state.
    pub fn new(bounds: &Bounds) -> Self {
        let (version, settled) = (STOP - 1, STOP - 1);
        let daemon = Daemon { alive: true, cut: false, version, request: None, settled };
        let daemon = sync::Arc::new(daemon);
        Self {
            accepted: false,
            passed: false,
            daemons: vec![daemon; bounds.daemons],
            running: vec![],
            late: false,
            stopped: false,
        }
    }

    /// Returns the invariant that the state violates, if any.
    pub fn check(&self) -> Option<Invariant> {
        if self.late {
            return Some(Invariant::LeavingGetsNothing);
        }
        let cut = self.stopped && !self.running.is_empty();
        cut.then_some(Invariant::PlannedStopCutsNothing)
    }

    /// Returns a mutable reference to a daemon; copies the daemon first if other states share it.
    pub(super) fn daemon(&mut self, daemon: usize) -> &mut Daemon {
        sync::Arc::make_mut(&mut self.daemons[daemon])
    }

    /// Returns whether a daemon knows that it is cut off.
    pub(super) fn is_isolated(&self, bounds: &Bounds, daemon: usize) -> bool {
        bounds.guards.isolation && self.passed && self.daemons[daemon].cut
    }

    /// Returns whether the endpoint takes new work according to what the daemon knows.
    pub(super) fn takes_work(&self, bounds: &Bounds, daemon: usize) -> bool {
        let held = snapshot(self.daemons[daemon].version);
        !held.stops_endpoint(&ENDPOINT.into()) && !self.is_isolated(bounds, daemon)
    }

    /// Returns the version that a daemon reports as settled.
    pub(super) fn settled(&self, bounds: &Bounds, daemon: usize) -> u64 {
        let own = &self.daemons[daemon];
        let dispatched = own
            .request
            .as_ref()
            .is_some_and(|request| matches!(request.phase(), coordinate::Phase::Dispatched { .. }));
        let live = self.daemons.iter().filter(|daemon| daemon.alive);
        let in_force = live.map(|daemon| daemon.version).min().unwrap_or(0);
        let schedules = daemon + 1 == self.daemons.len();
        let waits = bounds.guards.everywhere && in_force < STOP;
        let loaded = bounds.guards.load && schedules && (waits || !self.running.is_empty());
        let host: id::HostName = "own".into();
        let reporter = stops::Daemon { host: &host, is_busy: dispatched };
        stops::settled_version(&snapshot(own.version), reporter, |_| dispatched || loaded)
    }
}

/// Returns the configuration snapshot of a version.
fn snapshot(version: u64) -> config::Snapshot {
    let endpoint = resource::Spec::Endpoint(resource::EndpointSpec {
        pool: "p".into(),
        host: "h".into(),
        zone: "z".into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 1,
        cache_tokens: 0,
        checks_fencing: false,
    });
    let target = resource::StopTarget::Endpoint(ENDPOINT.into());
    let stop = resource::Spec::PlannedStop(resource::PlannedStopSpec { target });
    let mut resources = vec![accepted(ENDPOINT, endpoint, STOP - 1)];
    if version >= STOP {
        resources.push(accepted("s", stop, STOP));
    }
    config::Snapshot::from_resources(version, resources)
}

fn accepted(name: &str, spec: resource::Spec, resource_version: u64) -> resource::Resource {
    let (name, status) = (name.to_owned(), None);
    resource::Resource { name, spec, generation: 1, resource_version, status }
}
