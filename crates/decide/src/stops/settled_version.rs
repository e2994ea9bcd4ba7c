//! The version up to which planned stops have ended at one daemon.

use trefoildyke_types::{id, resource};

use crate::config;

/// The daemon that reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Daemon<'a> {
    /// The host of the daemon.
    pub host: &'a id::HostName,
    /// Whether the daemon has any request in progress.
    pub is_busy: bool,
}

/// Returns the version up to which every planned stop in the snapshot has ended at this daemon.
///
/// `is_busy` tells whether an endpoint has work in progress: a request that this daemon has
/// dispatched, or, at the endpoint's scheduler, work that the endpoint's own load report shows. The
/// load report counts because a coordinator may have died while its request continued. A scheduler
/// must return `true` until it has a load report from after the time at which the stop came into
/// force on every live daemon.
///
/// Once a stop is in force at this daemon, nothing new starts at its target, so an ended stop stays
/// ended. A stop has ended for the cluster when every live daemon reports its version as settled.
pub fn settled_version(
    snapshot: &config::Snapshot,
    daemon: Daemon<'_>,
    is_busy: impl Fn(&id::EndpointName) -> bool,
) -> u64 {
    let stops = snapshot.of_kind(resource::Kind::PlannedStop);
    let open = stops.filter_map(|resource| match &resource.spec {
        resource::Spec::PlannedStop(stop) => is_open(snapshot, &stop.target, daemon, &is_busy)
            .then(|| resource.resource_version.saturating_sub(1)),
        _ => None,
    });
    open.min().unwrap_or(u64::MAX).min(snapshot.version())
}

fn is_open(
    snapshot: &config::Snapshot,
    target: &resource::StopTarget,
    daemon: Daemon<'_>,
    is_busy: impl Fn(&id::EndpointName) -> bool,
) -> bool {
    match target {
        resource::StopTarget::Endpoint(name) => is_busy(name),
        resource::StopTarget::Pool(pool) => snapshot.endpoints_of(pool).iter().any(is_busy),
        resource::StopTarget::Host(host) => {
            let on_host = |resource: &resource::Resource| match &resource.spec {
                resource::Spec::Endpoint(spec) if spec.host == *host => {
                    is_busy(&resource.name.as_str().into())
                }
                _ => false,
            };
            let mut endpoints = snapshot.of_kind(resource::Kind::Endpoint);
            (daemon.is_busy && daemon.host == host) || endpoints.any(|resource| on_host(resource))
        }
    }
}
