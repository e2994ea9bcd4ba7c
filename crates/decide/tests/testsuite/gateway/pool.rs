//! The order and placement of the requests of one service.

use std::time::Duration;

use trefoildyke_decide::gateway::{
    Admission, Learned, LoadReport, Outcome, Pool, PoolParams, PoolRequest, RosterEntry,
};

use super::support::{
    at, end, entry, grant_at, granted, grants, peer, pool, queued, report, request,
};

#[test]
fn queued_requests_are_granted_slots_in_order_of_rank() {
    let mut pool = pool(&["one"]);
    let first = granted(pool.submit(at(0), request(0, 0)));
    let second = granted(pool.submit(at(0), request(0, 0)));
    let low_rank = queued(pool.submit(at(1), request(1, 2)));
    let urgent = queued(pool.submit(at(2), request(2, 0)));
    assert_eq!(end(&mut pool, 50, &first), [urgent]);
    // The last of several ranks leaves no slot free here: four hundredths of two slots are rounded to none.
    assert_eq!(end(&mut pool, 60, &second), [low_rank]);
}

#[test]
fn slots_used_by_a_peer_are_not_granted() {
    let mut pool = pool(&["one"]);
    pool.apply_report(at(0), peer(2), &report(1, &[("one", 2)], 0));
    let ticket = queued(pool.submit(at(1), request(1, 0)));
    pool.apply_report(at(50), peer(2), &report(2, &[("one", 1)], 0));
    let grants = grants(&mut pool, 50);
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].0, ticket);
}

#[test]
fn a_forgotten_peer_holds_no_slots() {
    let mut pool = pool(&["one"]);
    pool.apply_report(at(0), peer(2), &report(1, &[("one", 2)], 0));
    pool.forget_peer(peer(2));
    granted(pool.submit(at(1), request(1, 0)));
}

#[test]
fn an_outdated_load_report_is_ignored() {
    let mut pool = pool(&["one"]);
    pool.apply_report(at(0), peer(2), &report(2, &[("one", 2)], 0));
    pool.apply_report(at(1), peer(2), &report(1, &[], 0));
    queued(pool.submit(at(1), request(1, 0)));
    let restarted = LoadReport { incarnation: 2, ..report(1, &[], 0) };
    pool.apply_report(at(2), peer(2), &restarted);
    assert_eq!(grants(&mut pool, 2).len(), 1);
}

#[test]
fn a_slot_granted_to_a_peer_is_reserved_until_its_report_confirms_it() {
    let mut pool = pool(&["one"]);
    for given in 1..=2 {
        let grant = granted(pool.submit(at(0), request(0, 2)));
        pool.reserve(at(0), &grant, peer(2), given);
    }
    let urgent = queued(pool.submit(at(1), request(1, 0)));
    // The peer sent this report before the granted slots reached it.
    pool.apply_report(at(5), peer(2), &report(1, &[], 0));
    assert!(grants(&mut pool, 5).is_empty());
    // Both slots have reached the peer and one request has ended since: one of two slots is taken, not two
    // or none.
    pool.apply_report(at(20), peer(2), &report(2, &[("one", 1)], 2));
    let given = grants(&mut pool, 20);
    assert_eq!(given.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [urgent]);
    queued(pool.submit(at(21), request(21, 0)));
    assert!(grants(&mut pool, 21).is_empty());
}

#[test]
fn the_reservation_of_a_silent_peer_expires() {
    let mut pool = pool(&["one"]);
    for given in 1..=2 {
        let grant = granted(pool.submit(at(0), request(0, 2)));
        pool.reserve(at(0), &grant, peer(2), given);
    }
    queued(pool.submit(at(1), request(1, 2)));
    // All daemons report their load twice a second, so the reservation has not expired yet.
    pool.expire_peers(at(600));
    assert!(grants(&mut pool, 600).is_empty());
    pool.expire_peers(at(750));
    assert_eq!(grants(&mut pool, 750).len(), 1);
}

#[test]
fn the_prompt_of_a_reservation_counts_until_it_is_reported() {
    let mut pool = pool(&["one", "two"]);
    let mut long = request(0, 0);
    long.prompt = 20_000;
    let first = granted(pool.submit(at(0), long));
    pool.reserve(at(0), &first, peer(2), 1);
    let second = granted(pool.submit(at(1), request(1, 0)));
    assert_ne!(second.endpoint, first.endpoint, "the endpoint still reads the first prompt");
}

#[test]
fn a_granted_slot_is_taken_only_at_a_listed_endpoint_that_is_not_draining() {
    let mut pool = pool(&["one"]);
    assert!(pool.accept_grant(at(0), &"one".into(), &request(0, 0), 300).is_some());
    assert!(pool.accept_grant(at(0), &"gone".into(), &request(0, 0), 300).is_none());
    let mut draining = entry("one");
    draining.draining = true;
    pool.upsert_endpoint(at(1), &draining);
    assert!(pool.accept_grant(at(1), &"one".into(), &request(1, 0), 300).is_none());
    queued(pool.submit(at(1), request(1, 0)));
    assert!(grants(&mut pool, 2).is_empty());
}

/// The measurements of a stream at one daemon show all daemons how slow an endpoint has become.
#[test]
fn measurements_of_a_peer_are_applied() {
    let mut pool = pool(&["one", "two"]);
    let slow = Learned { steps: 60, step_ms: 60.0, ..Learned::default() };
    let mut load_report = report(1, &[("one", 1)], 0);
    load_report.endpoints[0].learned = Some(slow);
    pool.apply_report(at(0), peer(2), &load_report);
    let states = pool.states(at(1));
    assert!(states[0].step_ms > 55.0, "{states:?}");
    assert!(states[1].step_ms < 5.0, "{states:?}");
}

/// An isolated daemon is refused by all endpoints, but the others can still use them.
#[test]
fn a_responsive_endpoint_is_not_paused_when_a_peer_is_refused() {
    let refused = Learned { refused: 1, ..Learned::default() };
    let mut load_report = report(1, &[("one", 0)], 0);
    load_report.endpoints[0].learned = Some(refused);
    let mut alive = pool(&["one"]);
    let grant = granted(alive.submit(at(0), request(0, 0)));
    alive.record_first_event(at(10), &grant, grant.prompt);
    alive.apply_report(at(20), peer(2), &load_report);
    granted(alive.submit(at(21), request(21, 0)));
    let mut without_response = pool(&["one"]);
    without_response.apply_report(at(20), peer(2), &load_report);
    queued(without_response.submit(at(21), request(21, 0)));
}

/// A running stream of a peer shows that the endpoint is alive, even if this daemon receives nothing from
/// it.
#[test]
fn an_endpoint_that_responds_to_a_peer_is_not_suspected() {
    let mut pool = pool(&["one"]);
    pool.apply_report(at(0), peer(2), &report(1, &[("one", 1)], 0));
    pool.apply_report(at(5_000), peer(2), &report(2, &[("one", 1)], 0));
    granted(pool.submit(at(5_000), request(5_000, 0)));
}

#[test]
fn an_unreachable_endpoint_is_paused() {
    let mut pool = pool(&["one", "two"]);
    let grant = granted(pool.submit(at(0), request(0, 0)));
    pool.end_request(at(1), &grant, grant.prompt, Outcome::Unreachable);
    for ms in 2..6 {
        let next = pool.submit(at(ms), request(ms, 0));
        if let Admission::Granted(next) = next {
            assert_ne!(next.endpoint, grant.endpoint);
        }
    }
}

#[test]
fn a_silent_endpoint_gets_no_unrepeatable_requests() {
    let mut pool = pool(&["one"]);
    granted(pool.submit(at(0), request(0, 0)));
    queued(pool.submit(at(5_000), request(5_000, 0)));
    assert!(grants(&mut pool, 5_000).is_empty());
}

#[test]
fn an_unused_grant_leaves_no_load() {
    let mut pool = pool(&["one"]);
    let kept = granted(pool.submit(at(0), request(0, 0)));
    let unused = granted(pool.submit(at(0), request(0, 0)));
    pool.end_request(at(1), &unused, unused.prompt, Outcome::Unused);
    let load = pool.report(at(2), true).remove(0);
    assert_eq!((load.running, load.prefill), (1, kept.prompt));
}

#[test]
fn a_request_is_not_placed_at_an_endpoint_it_was_sent_to_before() {
    let mut pool = pool(&["one"]);
    let mut retried = request(0, 0);
    retried.tried = vec!["one".into()];
    queued(pool.submit(at(0), retried));
}

#[test]
fn a_request_that_cannot_complete_in_time_gets_no_slot() {
    let mut pool = pool(&["one"]);
    let mut long = request(0, 0);
    long.expected_tokens = 10_000.0;
    long.deadline = at(6_000);
    queued(pool.submit(at(0), long));
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_with_a_retry_time() {
    let mut pool = pool(&["one"]);
    granted(pool.submit(at(0), request(0, 0)));
    granted(pool.submit(at(0), request(0, 0)));
    let mut refused = None;
    for _ in 0..200 {
        if let Admission::Refused(refusal) = pool.submit(at(1), request(1, 2)) {
            refused = Some(refusal);
            break;
        }
    }
    let after = refused.expect("200 requests wait for two slots").retry_after;
    assert!(after.as_millis() >= 2_000, "{after:?}");
}

#[test]
fn a_returning_request_is_not_refused_on_arrival() {
    let mut pool = pool(&["one"]);
    for _ in 0..300 {
        pool.submit(at(0), request(0, 2));
    }
    let mut returning = request(1, 2);
    returning.returning = true;
    queued(pool.submit(at(1), returning));
}

/// No waiting request gets a slot, since more urgent requests take them all.
#[test]
fn a_returning_request_is_refused_once_it_can_no_longer_be_served() {
    let mut pool = pool(&["one"]);
    granted(pool.submit(at(0), request(0, 0)));
    granted(pool.submit(at(0), request(0, 0)));
    let returning = |ms| PoolRequest { returning: true, ..request(ms, 2) };
    for ms in 0..=20 {
        queued(pool.submit(at(ms), returning(ms)));
    }
    assert!(pool.settle(at(600)).is_empty(), "no grant rate of late requests is known yet");
    let next = queued(pool.submit(at(600), returning(600)));
    let refused: Vec<_> = pool.settle(at(1_500)).into_iter().map(|(ticket, _)| ticket).collect();
    assert_eq!(refused, [next]);
}

/// On a busy slow engine, two of three steps also read a part of another request's prompt.
#[test]
fn reading_prompts_during_a_stream_does_not_raise_the_predicted_prompt_time() {
    let mut pool = pool(&["one"]);
    let running = granted(pool.submit(at(0), request(0, 0)));
    // Events of 4 tokens, at 8 ms a token; at 60 ms if a prompt is read in the same step.
    for number in 0..120 {
        let step_ms = if number % 3 == 0 { 8.0 } else { 60.0 };
        pool.record_event(at(10 + number), &running, step_ms * 4.0 / 1_000.0);
    }
    pool.record_first_event(at(150), &running, running.prompt);
    let mut long = request(150, 0);
    long.prompt = 4_000;
    let grant = granted(pool.submit(at(150), long));
    // 4,000 tokens at twice the usual 1/38 ms, plus the time to the first event that does not depend on the
    // prompt.
    assert!((300..420).contains(&grant.first_ms), "{}", grant.first_ms);
}

/// Guards against a burst on a service with one endpoint that fails every request and so always has free
/// slots.
#[test]
fn a_failing_endpoint_gets_only_repeatable_requests() {
    let mut pool = pool(&["one", "two", "three"]);
    let failed = Learned { failed: 12, ..Learned::default() };
    let mut load_report = report(1, &[("one", 0)], 0);
    load_report.endpoints[0].learned = Some(failed);
    pool.apply_report(at(0), peer(2), &load_report);
    for _ in 0..4 {
        assert_ne!(granted(pool.submit(at(1), request(1, 0))).endpoint.as_str(), "one");
    }
    // A repeatable request is sent to the endpoint to find out whether it still fails. A request that may
    // not be repeated waits instead, and would not show it.
    let mut repeatable = request(1, 0);
    repeatable.repeatable = true;
    let mut alone = pool.clone();
    queued(pool.submit(at(1), request(1, 0)));
    assert!(grants(&mut pool, 1).is_empty());
    assert_eq!(granted(alone.submit(at(1), repeatable.clone())).endpoint.as_str(), "one");
    queued(alone.submit(at(1), repeatable));
}

/// If all endpoints fail alike, no endpoint is better than another.
#[test]
fn endpoints_that_all_fail_alike_are_all_used() {
    let mut pool = pool(&["one", "two"]);
    let failed = Learned { failed: 12, ..Learned::default() };
    let mut load_report = report(1, &[("one", 0), ("two", 0)], 0);
    load_report.endpoints[0].learned = Some(failed);
    load_report.endpoints[1].learned = Some(failed);
    pool.apply_report(at(0), peer(2), &load_report);
    for _ in 0..4 {
        granted(pool.submit(at(1), request(1, 0)));
    }
}

/// A request that begins after its caller has left wastes its slot.
#[test]
fn a_request_that_cannot_begin_before_its_caller_leaves_gets_no_slot() {
    let mut pool = pool(&["one"]);
    let mut late = request(0, 0);
    late.prompt = 8_000;
    late.leaves_at = at(100);
    queued(pool.submit(at(0), late));
    granted(super::support::pool(&["one"]).submit(at(0), request(0, 0)));
}

/// 90 long prompts wait for the only fast endpoint, whose slots are taken, while the slow one has free
/// slots.
#[test]
fn requests_that_wait_for_a_fast_endpoint_do_not_block_slow_endpoints() {
    let mut pool = pool(&["fast", "slow"]);
    for (name, step_ms) in [("fast", 2.8), ("slow", 16.0)] {
        for ms in 0..100 {
            pool.record_event(at(ms), &grant_at(name), step_ms * 4.0 / 1_000.0);
        }
    }
    let mut long = request(100, 0);
    long.prompt = 6_000;
    for _ in 0..2 {
        assert_eq!(granted(pool.submit(at(100), long.clone())).endpoint.as_str(), "fast");
    }
    for _ in 0..90 {
        queued(pool.submit(at(100), PoolRequest { leaves_at: at(60_000), ..long.clone() }));
    }
    // The request is neither refused because of the waiting ones nor queued behind them.
    let short = PoolRequest { leaves_at: at(1_600), ..request(100, 2) };
    let slow_grant = granted(pool.submit(at(100), short.clone()));
    assert_eq!(slow_grant.endpoint.as_str(), "slow");
    granted(pool.submit(at(100), short.clone()));
    let returning = PoolRequest { returning: true, ..short };
    let low_rank = queued(pool.submit(at(100), returning));
    assert!(grants(&mut pool, 100).is_empty());
    pool.end_request(at(110), &slow_grant, 0, Outcome::Served);
    let next: Vec<_> = grants(&mut pool, 110).into_iter().map(|(ticket, _)| ticket).collect();
    assert_eq!(next, [low_rank]);
}

/// Under lasting overload there is always a newer, shorter request.
#[test]
fn a_long_answer_that_has_waited_goes_before_a_new_short_one() {
    let mut pool = pool(&["one"]);
    let first = granted(pool.submit(at(0), request(0, 0)));
    granted(pool.submit(at(0), request(0, 0)));
    let mut long = request(0, 0);
    long.expected_tokens = 2_000.0;
    long.objective = at(800);
    let long = queued(pool.submit(at(0), long));
    let mut short = request(450, 0);
    short.objective = at(1_250);
    queued(pool.submit(at(450), short));
    assert_eq!(end(&mut pool, 500, &first), [long]);
}

/// The report about the end of the peer's requests was lost, and the peer has had no requests since.
#[test]
fn load_that_a_peer_does_not_repeat_expires() {
    let mut pool = pool(&["one"]);
    pool.apply_report(at(0), peer(2), &report(1, &[("one", 2)], 0));
    queued(pool.submit(at(1), request(1, 0)));
    pool.expire_peers(at(1_500));
    assert!(grants(&mut pool, 1_500).is_empty(), "two reports in a row may be lost");
    pool.expire_peers(at(1_700));
    assert_eq!(grants(&mut pool, 1_700).len(), 1);
}

/// An endpoint crashes and starts again under the same name while it has requests.
#[test]
fn state_of_an_earlier_start_of_an_endpoint_is_dropped() {
    let mut pool = pool(&["one"]);
    let before =
        [granted(pool.submit(at(0), request(0, 0))), granted(pool.submit(at(0), request(0, 0)))];
    let waiting = queued(pool.submit(at(10), request(10, 0)));
    pool.apply_report(at(20), peer(2), &report(1, &[("one", 2)], 0));
    pool.upsert_endpoint(at(30), &RosterEntry { start: 1, ..entry("one") });
    let after = grants(&mut pool, 30);
    assert_eq!(after.len(), 1, "two free slots for one request");
    assert_eq!(after[0].0, waiting);
    // The ends of requests of the earlier start neither free a slot nor count as failures of the new start.
    for grant in &before {
        pool.end_request(at(40), grant, grant.prompt, Outcome::Unreachable);
    }
    assert_eq!(pool.states(at(50))[0].own, 1);
    granted(pool.submit(at(50), request(50, 0)));
    queued(pool.submit(at(50), request(50, 0)));
    // A late report of another daemon's load at the earlier start.
    pool.apply_report(at(60), peer(2), &report(2, &[("one", 2)], 0));
    assert_eq!(pool.states(at(60))[0].others, 0);
}

/// Guards against idle slots of a plain service under overload: a slot would stay unused for a round trip.
#[test]
fn one_request_may_wait_at_a_full_plain_endpoint_but_none_at_an_engine() {
    let entry = RosterEntry { slots: 4, ..entry("one") };
    let plain =
        PoolRequest { prompt: 0, expected_tokens: 0.0, max_pause: Duration::ZERO, ..request(0, 0) };
    for (event_tokens, most) in [(0, 5), (4, 4)] {
        let mut pool = Pool::new(PoolParams::default(), event_tokens);
        pool.upsert_endpoint(at(0), &entry);
        for _ in 0..most {
            granted(pool.submit(at(0), plain.clone()));
        }
        queued(pool.submit(at(0), plain.clone()));
    }
    // A setting turns this off.
    let params = PoolParams { queue_slots: u32::MAX, ..PoolParams::default() };
    let mut pool = Pool::new(params, 0);
    pool.upsert_endpoint(at(0), &entry);
    for _ in 0..4 {
        granted(pool.submit(at(0), plain.clone()));
    }
    queued(pool.submit(at(0), plain));
}
