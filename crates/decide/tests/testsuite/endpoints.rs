//! Tests of which endpoints get work.

use std::{sync, time::Duration};

use trefoildyke_decide::{config, endpoints, schedule};
use trefoildyke_types::{id, resource, time::Timestamp};

const POOL: &str = "drafting";

fn endpoint(name: &str, host: &str) -> resource::Resource {
    let spec = resource::EndpointSpec {
        pool: POOL.into(),
        host: host.into(),
        zone: "tacoma-a".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 8,
        cache_tokens: 1_024,
        checks_fencing: true,
    };
    resource(name, resource::Spec::Endpoint(spec))
}

fn pool(shards: u16) -> resource::Resource {
    let protocol = resource::PoolProtocol::Engine { model: "llama".into() };
    resource(POOL, resource::Spec::EndpointPool(resource::EndpointPoolSpec { protocol, shards }))
}

fn resource(name: &str, spec: resource::Spec) -> resource::Resource {
    resource::Resource {
        name: name.to_owned(),
        spec,
        generation: 1,
        resource_version: 1,
        status: None,
    }
}

fn stop(name: &str) -> resource::Resource {
    let target = resource::StopTarget::Endpoint(name.into());
    resource("maintenance", resource::Spec::PlannedStop(resource::PlannedStopSpec { target }))
}

fn hosts(live: &[&str], leaving: &[&str]) -> sync::Arc<endpoints::Hosts> {
    let names = |list: &[&str]| list.iter().map(|name| id::HostName::new(name)).collect();
    sync::Arc::new(endpoints::Hosts { live: names(live), leaving: names(leaving) })
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

/// Advances time in steps of half a second, while `answering` answer, and returns the inputs for
/// the scheduler.
fn advance(
    states: &mut endpoints::EndpointStates,
    seconds: std::ops::Range<u64>,
    answering: &[&str],
) -> Vec<String> {
    let mut inputs = Vec::new();
    for half_second in seconds.start * 2 + 1..=seconds.end * 2 {
        let now = Timestamp::from_millis(half_second * 500);
        for name in answering {
            inputs.extend(texts(&states.answered(now, &(*name).into())));
        }
        inputs.extend(texts(&states.tick(now)));
    }
    inputs
}

/// Returns the inputs as text: `+name`, `-name` or `gone name`.
fn texts(inputs: &[schedule::Input]) -> Vec<String> {
    let text = |input: &schedule::Input| match input {
        schedule::Input::EndpointUp(info) => format!("+{}", info.endpoint),
        schedule::Input::EndpointLeaving(name) => format!("-{name}"),
        schedule::Input::EndpointGone(name) => format!("gone {name}"),
        other => format!("{other:?}"),
    };
    inputs.iter().map(text).collect()
}

/// Returns the states of two endpoints on two live hosts, both reported as up at second 0.
fn two_up() -> (endpoints::EndpointStates, Vec<resource::Resource>) {
    let resources = vec![pool(1), endpoint("e1", "h1"), endpoint("e2", "h2")];
    let mut states = endpoints::EndpointStates::new(POOL.into(), 0, endpoints::Params::default());
    let snapshot = config::Snapshot::from_resources(1, resources.clone());
    assert!(states.apply_config(at(0), &snapshot).is_empty());
    assert_eq!(texts(&states.set_hosts(at(0), at(0), hosts(&["h1", "h2"], &[]))), ["+e1", "+e2"]);
    (states, resources)
}

#[test]
fn no_endpoint_gets_work_before_the_list_was_read() {
    let resources = vec![pool(1), endpoint("e1", "h1"), endpoint("e2", "h2")];
    let mut states = endpoints::EndpointStates::new(POOL.into(), 0, endpoints::Params::default());
    states.apply_config(at(0), &config::Snapshot::from_resources(1, resources));
    assert!(states.tick(at(1)).is_empty());
    assert_eq!(texts(&states.set_hosts(at(1), at(1), hosts(&["h1"], &["h2"]))), ["+e1"]);
}

#[test]
fn without_a_list_work_continues_after_the_wait() {
    let mut states = endpoints::EndpointStates::new(POOL.into(), 0, endpoints::Params::default());
    let snapshot = config::Snapshot::from_resources(1, vec![pool(1), endpoint("e1", "h1")]);
    states.apply_config(at(0), &snapshot);
    assert_eq!(advance(&mut states, 0..1, &[]), [""; 0]);
    assert_eq!(advance(&mut states, 1..2, &[]), ["+e1"]);
}

#[test]
fn an_endpoint_on_a_leaving_host_is_leaving_at_once() {
    let (mut states, _) = two_up();
    assert_eq!(texts(&states.set_hosts(at(1), at(1), hosts(&["h1"], &["h2"]))), ["-e2"]);
    assert!(states.set_hosts(at(1), at(1), hosts(&["h1"], &["h2"])).is_empty());
    assert_eq!(texts(&states.set_hosts(at(2), at(2), hosts(&["h1", "h2"], &[]))), ["+e2"]);
}

#[test]
fn an_unlisted_host_is_gone_only_if_it_was_listed_before() {
    let (mut states, mut resources) = two_up();
    resources.push(endpoint("e3", "h3"));
    let snapshot = config::Snapshot::from_resources(2, resources);
    assert_eq!(texts(&states.apply_config(at(1), &snapshot)), ["+e3"]);
    assert_eq!(texts(&states.set_hosts(at(1), at(1), hosts(&["h1"], &[]))), ["-e2"]);
}

#[test]
fn a_planned_stop_ends_new_work_until_it_is_deleted() {
    let (mut states, mut resources) = two_up();
    resources.push(stop("e1"));
    let stopped = config::Snapshot::from_resources(2, resources.clone());
    assert_eq!(texts(&states.apply_config(at(1), &stopped)), ["-e1"]);
    resources.pop();
    let again = config::Snapshot::from_resources(3, resources);
    assert_eq!(texts(&states.apply_config(at(1), &again)), ["+e1"]);
}

#[test]
fn a_deleted_endpoint_is_kept_for_its_work_in_progress() {
    let (mut states, mut resources) = two_up();
    resources.pop();
    let without = config::Snapshot::from_resources(2, resources);
    assert_eq!(texts(&states.apply_config(at(1), &without)), ["-e2"]);
    assert_eq!(states.polled().count(), 2);
    assert_eq!(advance(&mut states, 1..60, &["e1"]), [""; 0]);
    assert_eq!(advance(&mut states, 60..61, &["e1"]), ["gone e2"]);
    assert_eq!(states.polled().count(), 1);
}

#[test]
fn an_endpoint_that_does_not_answer_gets_no_work_until_it_does() {
    let (mut states, _) = two_up();
    assert_eq!(advance(&mut states, 0..2, &["e1"]), [""; 0]);
    assert_eq!(advance(&mut states, 2..3, &["e1"]), ["-e2"]);
    assert_eq!(texts(&states.answered(at(4), &"e2".into())), ["+e2"]);
}

#[test]
fn after_a_pause_no_endpoint_gets_work_before_a_new_reading() {
    let (mut states, _) = two_up();
    // Any call may be the first after the pause; here it is an endpoint's answer.
    assert_eq!(texts(&states.answered(at(9), &"e1".into())), ["-e1", "-e2"]);
    // A reading started before the pause is out of date.
    let list = hosts(&["h1", "h2"], &[]);
    assert!(states.set_hosts(at(9), at(1), list).is_empty());
    assert_eq!(texts(&states.set_hosts(at(10), at(9), hosts(&["h1"], &["h2"]))), ["+e1"]);
}

#[test]
fn shards_divide_the_endpoints_and_more_shards_move_few() {
    let names: Vec<id::EndpointName> =
        (0..3_200).map(|number| id::EndpointName::new(&format!("worker-{number}"))).collect();
    let mut counts = [0_u32; 100];
    for name in &names {
        counts[usize::from(endpoints::shard_of(name, 100))] += 1;
    }
    assert!(counts.iter().all(|count| (12..=56).contains(count)), "{counts:?}");
    let moved =
        |name: &&id::EndpointName| endpoints::shard_of(name, 100) != endpoints::shard_of(name, 101);
    let moved = names.iter().filter(moved).count();
    assert!(moved < 80, "{moved}");
}

#[test]
fn a_changed_description_is_sent_again() {
    let (mut states, mut resources) = two_up();
    let resource::Spec::Endpoint(spec) = &mut resources[1].spec else { panic!() };
    spec.slots = 4;
    let changed = config::Snapshot::from_resources(2, resources);
    assert_eq!(texts(&states.apply_config(at(1), &changed)), ["+e1"]);
    let later = Duration::from_millis(100);
    assert!(states.tick(at(1) + later).is_empty());
}
