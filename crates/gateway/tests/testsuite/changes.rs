//! Changes of the configuration and of the list of endpoints beside requests in progress.

use std::{thread, time::Duration};

use trefoildyke_decide::gateway::{Config, Service, Target};

use crate::harness::{Caller, Endpoint, Reply, Step, TestGateway, account, entries};

/// How long an endpoint stands still after a change in most cases; longer than the shortened timeout.
const SHORT_PAUSE: Duration = Duration::from_millis(250);

/// The longest time for which a sound endpoint stands still.
const LONG_PAUSE: Duration = Duration::from_millis(1_500);

/// The timeout of the routes before a change; half of it is left after the longest pause.
const TIMEOUT_MS: u64 = 3_000;

/// The pause between events of the routes; an endpoint that stands still exceeds it many times over.
const GAP_MS: u64 = 100;

const SHORTENED_MS: u64 = 100;
const LENGTHENED_MS: u64 = 20_000;

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

struct Change {
    name: &'static str,
    apply: fn(&TestGateway, &[&Endpoint]),
    /// Whether the service has no endpoint for further requests after the change.
    leaves_none: bool,
}

const CHANGES: [Change; 11] = [
    Change { name: "shortened timeout", apply: shorten, leaves_none: false },
    Change { name: "lengthened timeout", apply: lengthen, leaves_none: false },
    Change { name: "moved routes", apply: move_routes, leaves_none: false },
    Change { name: "removed routes", apply: remove_routes, leaves_none: false },
    Change { name: "removed service", apply: remove_service, leaves_none: false },
    Change { name: "removed key", apply: remove_key, leaves_none: false },
    Change { name: "fewer attempts", apply: reduce_attempts, leaves_none: false },
    Change { name: "more attempts", apply: raise_attempts, leaves_none: false },
    Change { name: "draining endpoint", apply: drain, leaves_none: true },
    Change { name: "dropped endpoint", apply: drop_entry, leaves_none: true },
    Change { name: "new start of the endpoint", apply: restart, leaves_none: false },
];

fn shorten(gateway: &TestGateway, _: &[&Endpoint]) {
    reconfigure(gateway, |config| set_timeout(config, SHORTENED_MS));
}

fn lengthen(gateway: &TestGateway, _: &[&Endpoint]) {
    reconfigure(gateway, |config| set_timeout(config, LENGTHENED_MS));
}

fn move_routes(gateway: &TestGateway, _: &[&Endpoint]) {
    reconfigure(gateway, move_to_other);
}

fn remove_routes(gateway: &TestGateway, _: &[&Endpoint]) {
    reconfigure(gateway, |config| config.routes.clear());
}

fn remove_service(gateway: &TestGateway, _: &[&Endpoint]) {
    reconfigure(gateway, |config| {
        move_to_other(config);
        config.services.remove(0);
    });
}

fn remove_key(gateway: &TestGateway, _: &[&Endpoint]) {
    reconfigure(gateway, |config| config.accounts = vec![account("other")]);
}

fn reduce_attempts(gateway: &TestGateway, _: &[&Endpoint]) {
    reconfigure(gateway, |config| config.routes.iter_mut().for_each(|route| route.attempts = 1));
}

fn raise_attempts(gateway: &TestGateway, _: &[&Endpoint]) {
    reconfigure(gateway, |config| config.routes.iter_mut().for_each(|route| route.attempts = 5));
}

fn drain(gateway: &TestGateway, endpoints: &[&Endpoint]) {
    let mut list = entries(endpoints);
    list[0].draining = true;
    gateway.feed.set_endpoints(list);
}

fn drop_entry(gateway: &TestGateway, endpoints: &[&Endpoint]) {
    gateway.feed.set_endpoints(entries(endpoints).split_off(1));
}

fn restart(gateway: &TestGateway, endpoints: &[&Endpoint]) {
    let mut list = entries(endpoints);
    list[0].start = 1;
    gateway.feed.set_endpoints(list);
}

fn reconfigure(gateway: &TestGateway, change: impl FnOnce(&mut Config)) {
    gateway.reconfigure(3, |config| {
        set_timeout(config, TIMEOUT_MS);
        change(config);
    });
}

fn set_timeout(config: &mut Config, timeout_ms: u64) {
    for route in &mut config.routes {
        (route.timeout_ms, route.objective_ms) = (timeout_ms, timeout_ms);
        route.gap_ms = GAP_MS;
    }
}

fn move_to_other(config: &mut Config) {
    config.services.push(Service { name: "other".into(), connections: 100, event_tokens: 4 });
    for route in &mut config.routes {
        route.targets = vec![Target { service: "other".into(), weight: 1.0 }];
    }
}

fn start(endpoints: &[&Endpoint]) -> TestGateway {
    let gateway = TestGateway::unconfigured(|settings| settings.list_grace = Duration::ZERO);
    gateway.configure(&[]);
    gateway.reconfigure(2, |config| set_timeout(config, TIMEOUT_MS));
    gateway.feed.set_endpoints(entries(endpoints));
    gateway
}

fn send(gateway: &TestGateway, route: &str, id: &str) -> Caller {
    let mut caller = gateway.caller();
    send_again(&mut caller, route, id);
    caller
}

fn send_again(caller: &mut Caller, route: &str, id: &str) {
    let line = format!("POST /{route}/");
    caller.send(&line, &[("trefoildyke-request-id", id), ("trefoildyke-key", "k1")], "body");
}

/// Sends a request that the endpoint holds, and waits until the endpoint has it.
fn send_held(gateway: &TestGateway, endpoint: &Endpoint, route: &str) -> Caller {
    let before = endpoint.requests().len();
    let mut caller = send(gateway, route, &format!("held-{route}"));
    TestGateway::wait_until("the request arrives", || endpoint.requests().len() > before);
    if is_stream(route) {
        caller.read_first_event();
    }
    caller
}

fn is_stream(route: &str) -> bool {
    matches!(route, "resume" | "stream")
}

/// Returns the script of an endpoint that begins an answer, waits for its release and takes `end`.
fn held(route: &str, end: &[Step]) -> Vec<Step> {
    let mut script = Vec::new();
    if is_stream(route) {
        script.extend([Step::Stream, Step::Events("id: 1\ndata: a\n\n")]);
    }
    script.push(Step::Hold);
    script.extend_from_slice(end);
    script
}

fn rest(route: &str) -> Vec<Step> {
    if is_stream(route) {
        vec![Step::Events("id: 2\ndata: b\n\n"), Step::EndStream]
    } else {
        vec![Step::Answer("answer")]
    }
}

/// Runs all cases at the same time; returns the failures.
fn run_all(pauses: &[Duration], check: fn(&Change, Duration) -> Vec<String>) -> Vec<String> {
    let run = |change: &'static Change, pause: Duration| {
        thread::spawn(move || {
            let failures = check(change, pause).into_iter();
            failures.map(|text| format!("{}, {pause:?}: {text}", change.name)).collect::<Vec<_>>()
        })
    };
    let cases = pauses.iter().flat_map(|pause| CHANGES.iter().map(|change| run(change, *pause)));
    let cases: Vec<_> = cases.collect();
    cases.into_iter().flat_map(|case| case.join().unwrap()).collect()
}

fn fail_unless(ok: bool, what: &str, reply: Option<&Reply>, failures: &mut Vec<String>) {
    if !ok {
        failures.push(format!("{what}: {reply:?}"));
    }
}

fn is_answer(route: &str, reply: Option<&Reply>) -> bool {
    let body = if is_stream(route) { EVENTS } else { "answer" };
    reply.is_some_and(|reply| reply.status == 200 && reply.is_complete && reply.body == body)
}

/// Returns whether the caller was told that its request has not run, which is true.
fn is_refusal(endpoint: &Endpoint, id: &str, reply: Option<&Reply>) -> bool {
    let is_refused = reply.is_some_and(|reply| {
        reply.status == 503 && reply.is_complete && reply.header("retry-after").is_some()
    });
    let has_arrived = endpoint.requests().iter().any(|request| request.contains(id));
    is_refused && !has_arrived
}

/// Guards against a change that closes the connection of a request in progress without an answer.
#[test]
fn requests_in_progress_beside_a_change_get_their_answers() {
    let failures = run_all(&[SHORT_PAUSE, LONG_PAUSE], |change, pause| {
        let routes = ["resume", "stream", "again", "once"];
        let endpoint = Endpoint::start(routes.map(|route| held(route, &rest(route))).to_vec());
        let gateway = start(&[&endpoint]);
        let callers = routes.map(|route| send_held(&gateway, &endpoint, route));
        (change.apply)(&gateway, &[&endpoint]);
        thread::sleep(pause);
        routes.iter().for_each(|_| endpoint.release_one());
        let mut failures = Vec::new();
        for (route, mut caller) in routes.into_iter().zip(callers) {
            let reply = caller.read_reply();
            fail_unless(is_answer(route, reply.as_ref()), route, reply.as_ref(), &mut failures);
            if endpoint.requests().len() > routes.len() {
                failures.push(format!("{route}: sent more than once"));
            }
        }
        failures
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a change that closes a kept connection under the next request on it.
#[test]
fn a_kept_connection_carries_further_requests_after_a_change() {
    let failures = run_all(&[Duration::ZERO], |change, _| {
        let script = [held("once", &rest("once")), rest("once")].to_vec();
        let endpoint = Endpoint::start(script);
        let gateway = start(&[&endpoint]);
        let mut caller = send_held(&gateway, &endpoint, "once");
        (change.apply)(&gateway, &[&endpoint]);
        endpoint.release_one();
        let first = caller.read_reply();
        send_again(&mut caller, "once", "next");
        let next = caller.read_reply();
        let mut failures = Vec::new();
        fail_unless(is_answer("once", first.as_ref()), "first", first.as_ref(), &mut failures);
        let is_ended = next.as_ref().is_some_and(|reply| reply.is_complete);
        fail_unless(is_ended, "next", next.as_ref(), &mut failures);
        failures
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a change under which a request that waits for a slot gets neither an answer nor a refusal.
#[test]
fn queued_requests_beside_a_change_are_answered_or_refused() {
    let failures = run_all(&[SHORT_PAUSE, LONG_PAUSE], |change, pause| {
        let queued = ["once", "again"];
        let mut scripts = vec![held("once", &rest("once")); 4];
        scripts.push(rest("once"));
        let endpoint = Endpoint::start(scripts);
        let gateway = start(&[&endpoint]);
        let mut running: Vec<_> = (0..4).map(|_| send_held(&gateway, &endpoint, "once")).collect();
        let waiting = queued.map(|route| send(&gateway, route, &format!("queued-{route}")));
        let service = "svc".into();
        TestGateway::wait_until("the requests wait", || gateway.feed.waiting_count(&service) == 2);
        (change.apply)(&gateway, &[&endpoint]);
        thread::sleep(pause);
        (0..4).for_each(|_| endpoint.release_one());
        let mut failures = Vec::new();
        for caller in &mut running {
            let reply = caller.read_reply();
            fail_unless(
                is_answer("once", reply.as_ref()),
                "running",
                reply.as_ref(),
                &mut failures,
            );
        }
        for (route, mut caller) in queued.into_iter().zip(waiting) {
            let reply = caller.read_reply();
            let ok = if change.leaves_none {
                is_refusal(&endpoint, &format!("queued-{route}"), reply.as_ref())
            } else {
                is_answer(route, reply.as_ref())
            };
            fail_unless(ok, &format!("queued {route}"), reply.as_ref(), &mut failures);
        }
        failures
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a change after which a request is no longer sent to another endpoint of its service.
#[test]
fn requests_whose_endpoint_ends_after_a_change_go_on_elsewhere() {
    let failures = run_all(&[SHORT_PAUSE, LONG_PAUSE], |change, pause| {
        let mut failures = Vec::new();
        for route in ["resume", "again"] {
            let ending = Endpoint::start(vec![held(route, &[Step::Reset])]);
            let mut script = rest(route);
            if is_stream(route) {
                script.insert(0, Step::Stream);
            }
            let other = Endpoint::start(vec![script]);
            let gateway = start(&[&ending]);
            let mut caller = send_held(&gateway, &ending, route);
            gateway.feed.set_endpoints(entries(&[&ending, &other]));
            (change.apply)(&gateway, &[&ending, &other]);
            thread::sleep(pause);
            ending.release_one();
            let reply = caller.read_reply();
            fail_unless(is_answer(route, reply.as_ref()), route, reply.as_ref(), &mut failures);
        }
        failures
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
