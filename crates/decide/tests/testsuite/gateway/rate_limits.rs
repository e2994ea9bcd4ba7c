//! Rate limits that endpoints report in their answers.

use trefoildyke_decide::gateway::{
    Admission, Grant, Outcome, Pool, RateLimitChange, RateLimitReport,
};

use super::support::{at, grant_at, granted, grants, peer, pool, report, request};

/// Guards against reporting a change when the limit stays the same, and against missing one.
#[test]
fn only_a_changed_rate_limit_is_reported() {
    let mut pool = pool(&["e"]);
    let grant = granted(pool.submit(at(0), request(0, 0)));
    let mut note = |ms, per_s| pool.note_rate_limit(at(ms), &grant, per_s);
    assert!(!note(10, None));
    assert!(note(20, Some(2.5)));
    assert!(!note(30, Some(2.5)));
    assert!(note(40, Some(1.9)));
    assert!(note(50, None));
    assert!(!note(60, None));
}

/// Guards against an older answer overwriting a newer limit.
#[test]
fn an_outdated_rate_limit_is_ignored() {
    let mut pool = pool(&["e"]);
    let grant = granted(pool.submit(at(0), request(0, 0)));
    assert!(pool.note_rate_limit(at(50), &grant, Some(2.5)));
    assert!(!pool.note_rate_limit(at(40), &grant, None));
    assert!(pool.note_rate_limit(at(50), &grant, None));
}

/// The request arrival rate in these tests, in requests per second.
const ARRIVALS_PER_S: u64 = 50;

/// The duration of each request, in milliseconds.
const REQUEST_MS: u64 = 20;

/// Simulates requests that arrive at a pool from `from_ms` to `to_ms` and end `REQUEST_MS` later.
/// Returns the send time and endpoint of each request.
fn simulate_requests(pool: &mut Pool, from_ms: u64, to_ms: u64) -> Vec<(u64, String)> {
    let mut running: Vec<(u64, Grant)> = Vec::new();
    let mut sent = Vec::new();
    for ms in (from_ms..to_ms).step_by(5) {
        let (ended, rest) = running.into_iter().partition(|(end, _)| *end <= ms);
        running = rest;
        for (_, grant) in &ended {
            pool.record_first_event(at(ms), grant, grant.prompt);
            pool.end_request(at(ms), grant, 0, Outcome::Served);
        }
        let mut given: Vec<_> = grants(pool, ms).into_iter().map(|(_, grant)| grant).collect();
        if ms % (1_000 / ARRIVALS_PER_S) == 0
            && let Admission::Granted(grant) = pool.submit(at(ms), request(ms, 0))
        {
            given.push(grant);
        }
        for grant in given {
            sent.push((ms, grant.endpoint.as_str().to_owned()));
            running.push((ms + REQUEST_MS, grant));
        }
    }
    sent
}

/// Returns the maximum number of requests sent to an endpoint within any four seconds.
fn max_requests(sent: &[(u64, String)], endpoint: &str) -> usize {
    let times: Vec<_> =
        sent.iter().filter(|(_, name)| name == endpoint).map(|(ms, _)| *ms).collect();
    let window = |from: &u64| times.iter().filter(|ms| (*from..from + 4_000).contains(*ms)).count();
    times.iter().map(window).max().unwrap_or(0)
}

/// Returns the largest number of requests that a limit of `per_s` permits within four seconds.
fn allowed_requests(per_s: f64) -> usize {
    (per_s * 4.0 * 1.5 + 5.0) as usize
}

/// Guards against exceeding a limit, using less than 90 % of it, and starving the endpoint.
#[test]
fn an_endpoint_gets_no_more_requests_than_its_limit() {
    for per_s in [0.0, 1.2, 2.5, 10.0] {
        let mut pool = pool(&["e", "f"]);
        let before = simulate_requests(&mut pool, 0, 4_000);
        let count = max_requests(&before, "e");
        assert!(count > 60, "{count} requests in 4 s without a limit");
        assert!(pool.note_rate_limit(at(4_000), &grant_at("e"), Some(per_s)));
        let sent = simulate_requests(&mut pool, 4_000, 24_000);
        let (count, allowed) = (max_requests(&sent, "e"), allowed_requests(per_s));
        assert!(count <= allowed, "{count} requests in 4 s, {allowed} allowed at {per_s}/s");
        let total = sent.iter().filter(|(_, name)| name == "e").count();
        assert!(total as f64 >= 20.0 * per_s * 0.9, "{total} requests in 20 s at {per_s}/s");
        assert!(total > 0, "an endpoint that gets no requests cannot withdraw its limit");
        let arrived = 20 * ARRIVALS_PER_S as usize;
        assert_eq!(sent.len(), arrived, "the other endpoint serves the remaining requests");
    }
}

/// Guards against limiting an endpoint after it has withdrawn its limit.
#[test]
fn a_withdrawn_limit_no_longer_applies() {
    let mut pool = pool(&["e"]);
    pool.note_rate_limit(at(0), &grant_at("e"), Some(1.0));
    simulate_requests(&mut pool, 0, 2_000);
    assert!(pool.note_rate_limit(at(2_000), &grant_at("e"), None));
    let sent = simulate_requests(&mut pool, 2_000, 6_000);
    assert!(max_requests(&sent, "e") >= 4 * ARRIVALS_PER_S as usize);
}

/// Guards against applying a limit at the daemon that received it, but not at the one that places
/// the requests.
#[test]
fn a_limit_reported_by_another_daemon_applies() {
    let mut pool = pool(&["e", "f"]);
    let report_limit = |number, per_s, age_ms| {
        let mut report = report(number, &[("e", 0)], 0);
        report.endpoints[0].rate_limit = Some(RateLimitReport { per_s, age_ms });
        report
    };
    pool.apply_report(at(1_000), peer(2), &report_limit(1, Some(2.0), 0));
    let sent = simulate_requests(&mut pool, 1_000, 11_000);
    let (count, allowed) = (max_requests(&sent, "e"), allowed_requests(2.0));
    assert!(count <= allowed, "{count} requests in 4 s, {allowed} allowed");
    let changed = pool.take_rate_limit_changes();
    assert_eq!(changed, [RateLimitChange { endpoint: "e".into(), per_s: Some(2.0) }]);
    // An older report does not withdraw the limit.
    pool.apply_report(at(11_000), peer(3), &report_limit(1, None, 10_500));
    assert!(pool.take_rate_limit_changes().is_empty());
    pool.apply_report(at(11_100), peer(3), &report_limit(2, None, 10));
    assert_eq!(pool.take_rate_limit_changes().len(), 1);
}

/// Guards against reporting a changed limit late, not repeating it, and repeating it forever.
#[test]
fn a_changed_limit_is_reported_at_once_and_repeated_for_some_seconds() {
    let mut pool = pool(&["e", "f"]);
    pool.note_rate_limit(at(1_000), &grant_at("e"), Some(2.0));
    assert!(pool.has_work(at(1_000)));
    let reported = |pool: &mut Pool, ms, all| {
        let endpoints = pool.report(at(ms), all);
        endpoints.first().map(|load| (load.endpoint.as_str().to_owned(), load.rate_limit))
    };
    let limit = |age_ms| Some(RateLimitReport { per_s: Some(2.0), age_ms });
    assert_eq!(reported(&mut pool, 1_010, false), Some(("e".into(), limit(10))));
    assert_eq!(reported(&mut pool, 1_020, false), None);
    assert_eq!(reported(&mut pool, 1_500, true), Some(("e".into(), limit(500))));
    assert_eq!(reported(&mut pool, 6_000, true), None);
    assert!(!pool.has_work(at(6_000)));
}

/// Guards against exceeding the limit while two daemons whose member lists differ both place
/// requests: each also counts the requests that it sends to places granted by the other.
#[test]
fn requests_placed_by_another_daemon_count_against_the_limit() {
    let mut pool = pool(&["e"]);
    pool.note_rate_limit(at(0), &grant_at("e"), Some(1.0));
    for ms in [3_000, 3_100] {
        let taken = pool.accept_grant(at(ms), &"e".into(), &request(ms, 0), 0);
        pool.end_request(at(ms + 10), &taken.unwrap(), 0, Outcome::Served);
    }
    assert!(matches!(pool.submit(at(3_200), request(3_200, 0)), Admission::Queued(_)));
}
