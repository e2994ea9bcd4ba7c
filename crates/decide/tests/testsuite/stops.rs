//! Tests of when planned stops have ended.

use std::collections;

use trefoildyke_decide::{config, stops};
use trefoildyke_types::{id, resource};

fn resource(name: &str, version: u64, spec: resource::Spec) -> resource::Resource {
    let (name, status) = (name.to_owned(), None);
    resource::Resource { name, spec, generation: 1, resource_version: version, status }
}

fn endpoint(name: &str, host: &str) -> resource::Resource {
    let spec = resource::EndpointSpec {
        pool: "p".into(),
        host: host.into(),
        zone: "z".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 1,
        cache_tokens: 0,
        checks_fencing: false,
    };
    resource(name, 1, resource::Spec::Endpoint(spec))
}

fn stop(name: &str, version: u64, target: resource::StopTarget) -> resource::Resource {
    let spec = resource::PlannedStopSpec { target };
    resource(name, version, resource::Spec::PlannedStop(spec))
}

fn settled_version(stop: resource::Resource, busy: &[&str], daemon_busy: bool) -> u64 {
    let resources = vec![endpoint("e1", "h1"), endpoint("e2", "h2"), stop];
    let snapshot = config::Snapshot::from_resources(9, resources);
    let busy: collections::BTreeSet<id::EndpointName> = busy.iter().map(|e| (*e).into()).collect();
    let host = "h1".into();
    let daemon = stops::Daemon { host: &host, is_busy: daemon_busy };
    stops::settled_version(&snapshot, daemon, |endpoint| busy.contains(endpoint))
}

#[test]
fn a_stop_is_open_while_anything_runs_at_its_target() {
    let one = |version| stop("s", version, resource::StopTarget::Endpoint("e1".into()));
    assert_eq!(settled_version(one(5), &["e1"], false), 4);
    assert_eq!(settled_version(one(5), &["e2"], true), 9);
    let host = stop("s", 5, resource::StopTarget::Host("h2".into()));
    assert_eq!(settled_version(host.clone(), &["e2"], false), 4);
    assert_eq!(settled_version(host, &["e1"], true), 9);
    let pool = stop("s", 5, resource::StopTarget::Pool("p".into()));
    assert_eq!(settled_version(pool, &["e2"], false), 4);
}

#[test]
fn a_stop_of_the_daemons_own_host_waits_for_all_its_requests() {
    let host = || stop("s", 5, resource::StopTarget::Host("h1".into()));
    assert_eq!(settled_version(host(), &[], true), 4);
    assert_eq!(settled_version(host(), &[], false), 9);
}
