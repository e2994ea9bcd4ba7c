//! Order and place at one service.

use std::time::Duration;

use trefoildyke_decide::gateway::{
    Demand, Learned, LoadReport, Outcome, Pool, PoolParams, RosterEntry, Verdict,
};

use super::support::{
    at, demand, end, entry, granted, grants, peer, pool, queued, report, told_of,
};

#[test]
fn requests_wait_when_all_slots_are_taken_and_the_urgent_go_first() {
    let mut pool = pool(&["one"]);
    let first = granted(pool.arrive(at(0), demand(0, 0)));
    let second = granted(pool.arrive(at(0), demand(0, 0)));
    let lesser = queued(pool.arrive(at(1), demand(1, 2)));
    let urgent = queued(pool.arrive(at(2), demand(2, 0)));
    assert_eq!(end(&mut pool, 50, &first), [urgent]);
    // The last of several ranks leaves no slot free here: four in a hundred of two is none.
    assert_eq!(end(&mut pool, 60, &second), [lesser]);
}

#[test]
fn a_slot_that_a_peer_uses_is_not_used_again() {
    let mut pool = pool(&["one"]);
    pool.note_peer(at(0), peer(2), &report(1, &[("one", 2)], 0));
    let ticket = queued(pool.arrive(at(1), demand(1, 0)));
    pool.note_peer(at(50), peer(2), &report(2, &[("one", 1)], 0));
    let grants = grants(&mut pool, 50);
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].0, ticket);
}

#[test]
fn a_peer_that_is_forgotten_holds_no_slots() {
    let mut pool = pool(&["one"]);
    pool.note_peer(at(0), peer(2), &report(1, &[("one", 2)], 0));
    pool.forget_peer(peer(2));
    granted(pool.arrive(at(1), demand(1, 0)));
}

#[test]
fn a_report_that_comes_late_changes_nothing() {
    let mut pool = pool(&["one"]);
    pool.note_peer(at(0), peer(2), &report(2, &[("one", 2)], 0));
    pool.note_peer(at(1), peer(2), &report(1, &[], 0));
    queued(pool.arrive(at(1), demand(1, 0)));
    let restarted = LoadReport { incarnation: 2, ..report(1, &[], 0) };
    pool.note_peer(at(2), peer(2), &restarted);
    assert_eq!(grants(&mut pool, 2).len(), 1);
}

#[test]
fn a_place_given_to_a_peer_is_taken_until_its_report_names_it() {
    let mut pool = pool(&["one"]);
    for given in 1..=2 {
        let grant = granted(pool.arrive(at(0), demand(0, 2)));
        pool.promise(at(0), &grant, peer(2), given);
    }
    let urgent = queued(pool.arrive(at(1), demand(1, 0)));
    // A report that was made before the places came.
    pool.note_peer(at(5), peer(2), &report(1, &[], 0));
    assert!(grants(&mut pool, 5).is_empty());
    // Both have come and one request has ended since: one of two slots is taken, not two or none.
    pool.note_peer(at(20), peer(2), &report(2, &[("one", 1)], 2));
    let given = grants(&mut pool, 20);
    assert_eq!(given.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [urgent]);
    queued(pool.arrive(at(21), demand(21, 0)));
    assert!(grants(&mut pool, 21).is_empty());
}

#[test]
fn a_place_whose_peer_is_never_heard_of_again_is_free_after_a_while() {
    let mut pool = pool(&["one"]);
    for given in 1..=2 {
        let grant = granted(pool.arrive(at(0), demand(0, 2)));
        pool.promise(at(0), &grant, peer(2), given);
    }
    queued(pool.arrive(at(1), demand(1, 2)));
    // All report their work twice a second.
    pool.expire_peers(at(600));
    assert!(grants(&mut pool, 600).is_empty());
    pool.expire_peers(at(750));
    assert_eq!(grants(&mut pool, 750).len(), 1);
}

#[test]
fn a_promised_prompt_counts_until_it_is_reported() {
    let mut pool = pool(&["one", "two"]);
    let mut long = demand(0, 0);
    long.prompt = 20_000;
    let first = granted(pool.arrive(at(0), long));
    pool.promise(at(0), &first, peer(2), 1);
    let second = granted(pool.arrive(at(1), demand(1, 0)));
    assert_ne!(second.endpoint, first.endpoint, "the prompt of the first is read there");
}

#[test]
fn a_place_that_was_given_is_taken_only_where_the_endpoint_takes_work() {
    let mut pool = pool(&["one"]);
    assert!(pool.take(at(0), &"one".into(), &demand(0, 0), 300).is_some());
    assert!(pool.take(at(0), &"gone".into(), &demand(0, 0), 300).is_none());
    let mut draining = entry("one");
    draining.draining = true;
    pool.list(at(1), &draining);
    assert!(pool.take(at(1), &"one".into(), &demand(1, 0), 300).is_none());
    queued(pool.arrive(at(1), demand(1, 0)));
    assert!(grants(&mut pool, 2).is_empty());
}

/// A stream of one daemon shows all of them how slow an endpoint has become.
#[test]
fn what_a_peer_has_learned_of_an_endpoint_is_believed() {
    let mut pool = pool(&["one", "two"]);
    let slow = Learned { steps: 60, step_ms: 60.0, ..Learned::default() };
    let mut told = report(1, &[("one", 1)], 0);
    told.endpoints[0].learned = Some(slow);
    pool.note_peer(at(0), peer(2), &told);
    let states = pool.states(at(1));
    assert!(states[0].step_ms > 55.0, "{states:?}");
    assert!(states[1].step_ms < 5.0, "{states:?}");
}

/// A daemon that is cut off alone is refused everywhere; the others go on.
#[test]
fn an_endpoint_that_speaks_is_not_left_alone_since_one_peer_was_refused() {
    let refused = Learned { refused: 1, ..Learned::default() };
    let mut told = report(1, &[("one", 0)], 0);
    told.endpoints[0].learned = Some(refused);
    let mut alive = pool(&["one"]);
    let grant = granted(alive.arrive(at(0), demand(0, 0)));
    alive.first(at(10), &grant, grant.prompt);
    alive.note_peer(at(20), peer(2), &told);
    granted(alive.arrive(at(21), demand(21, 0)));
    let mut unheard = pool(&["one"]);
    unheard.note_peer(at(20), peer(2), &told);
    queued(unheard.arrive(at(21), demand(21, 0)));
}

/// A peer's stream that goes on shows that the endpoint lives, whatever this daemon hears.
#[test]
fn an_endpoint_that_a_peer_hears_is_not_doubted() {
    let mut pool = pool(&["one"]);
    pool.note_peer(at(0), peer(2), &report(1, &[("one", 1)], 0));
    pool.note_peer(at(5_000), peer(2), &report(2, &[("one", 1)], 0));
    granted(pool.arrive(at(5_000), demand(5_000, 0)));
}

#[test]
fn an_endpoint_that_cannot_be_reached_is_left_alone_for_a_while() {
    let mut pool = pool(&["one", "two"]);
    let grant = granted(pool.arrive(at(0), demand(0, 0)));
    pool.end(at(1), &grant, grant.prompt, Outcome::Unreachable);
    for ms in 2..6 {
        let next = pool.arrive(at(ms), demand(ms, 0));
        if let Verdict::Granted(next) = next {
            assert_ne!(next.endpoint, grant.endpoint);
        }
    }
}

#[test]
fn a_silent_endpoint_gets_only_what_may_be_repeated() {
    let mut pool = pool(&["one"]);
    granted(pool.arrive(at(0), demand(0, 0)));
    queued(pool.arrive(at(5_000), demand(5_000, 0)));
    assert!(grants(&mut pool, 5_000).is_empty());
}

#[test]
fn a_place_that_is_given_back_leaves_nothing() {
    let mut pool = pool(&["one"]);
    let kept = granted(pool.arrive(at(0), demand(0, 0)));
    let unused = granted(pool.arrive(at(0), demand(0, 0)));
    pool.end(at(1), &unused, unused.prompt, Outcome::Unused);
    let load = pool.report(at(2), true).remove(0);
    assert_eq!((load.running, load.prefill), (1, kept.prompt));
}

#[test]
fn a_request_is_not_placed_where_it_was_before() {
    let mut pool = pool(&["one"]);
    let mut again = demand(0, 0);
    again.tried = vec!["one".into()];
    queued(pool.arrive(at(0), again));
}

#[test]
fn an_answer_that_cannot_be_complete_in_time_gets_no_slot() {
    let mut pool = pool(&["one"]);
    let mut long = demand(0, 0);
    long.expected = 10_000.0;
    long.deadline = at(6_000);
    queued(pool.arrive(at(0), long));
}

#[test]
fn who_would_wait_past_his_patience_is_refused_at_once_with_a_time_to_come_back() {
    let mut pool = pool(&["one"]);
    granted(pool.arrive(at(0), demand(0, 0)));
    granted(pool.arrive(at(0), demand(0, 0)));
    let mut refused = None;
    for _ in 0..200 {
        if let Verdict::Refused(refusal) = pool.arrive(at(1), demand(1, 2)) {
            refused = Some(refusal);
            break;
        }
    }
    let after = refused.expect("200 requests wait for two slots").retry_after;
    assert!(after.as_millis() >= 2_000, "{after:?}");
}

#[test]
fn a_caller_that_was_refused_before_is_not_refused_on_arrival() {
    let mut pool = pool(&["one"]);
    for _ in 0..300 {
        pool.arrive(at(0), demand(0, 2));
    }
    let mut returning = demand(1, 2);
    returning.returning = true;
    queued(pool.arrive(at(1), returning));
}

/// Nobody who waits gets a place, since more urgent requests take all.
#[test]
fn who_was_refused_before_waits_while_there_is_hope_and_is_told_when_there_is_none() {
    let mut pool = pool(&["one"]);
    granted(pool.arrive(at(0), demand(0, 0)));
    granted(pool.arrive(at(0), demand(0, 0)));
    let returning = |ms| Demand { returning: true, ..demand(ms, 2) };
    for ms in 0..=20 {
        queued(pool.arrive(at(ms), returning(ms)));
    }
    assert!(pool.settle(at(600)).is_empty(), "nothing is known of how the late are served");
    let next = queued(pool.arrive(at(600), returning(600)));
    let refused: Vec<_> = pool.settle(at(1_500)).into_iter().map(|(ticket, _)| ticket).collect();
    assert_eq!(refused, [next]);
}

/// On a busy slow engine two of three steps also read a part of somebody's prompt.
#[test]
fn prompts_that_are_read_beside_a_stream_do_not_make_its_endpoint_seem_slower() {
    let mut pool = pool(&["one"]);
    let running = granted(pool.arrive(at(0), demand(0, 0)));
    // Events of 4 tokens, at 8 ms a token; with a prompt beside, at 60.
    for number in 0..120 {
        let step_ms = if number % 3 == 0 { 8.0 } else { 60.0 };
        pool.event(at(10 + number), &running, step_ms * 4.0 / 1_000.0);
    }
    pool.first(at(150), &running, running.prompt);
    let mut long = demand(150, 0);
    long.prompt = 4_000;
    let grant = granted(pool.arrive(at(150), long));
    // 4,000 tokens at twice the usual 1/38 ms, and what a first event took beside its prompt.
    assert!((300..420).contains(&grant.first_ms), "{}", grant.first_ms);
}

/// A burst on a service of which one endpoint fails whatever it is sent, and so always has free slots.
#[test]
fn an_endpoint_that_fails_far_more_than_the_others_gets_only_what_may_be_repeated() {
    let mut pool = pool(&["one", "two", "three"]);
    let failed = Learned { failed: 12, ..Learned::default() };
    let mut told = report(1, &[("one", 0)], 0);
    told.endpoints[0].learned = Some(failed);
    pool.note_peer(at(0), peer(2), &told);
    for _ in 0..4 {
        assert_ne!(granted(pool.arrive(at(1), demand(1, 0))).endpoint.as_str(), "one");
    }
    // One that may be repeated shows whether it still fails; what waits in front of it would not.
    let mut repeatable = demand(1, 0);
    repeatable.repeatable = true;
    let mut alone = pool.clone();
    queued(pool.arrive(at(1), demand(1, 0)));
    assert!(grants(&mut pool, 1).is_empty());
    assert_eq!(granted(alone.arrive(at(1), repeatable.clone())).endpoint.as_str(), "one");
    queued(alone.arrive(at(1), repeatable));
}

/// With all endpoints failing alike there is none to be spared for.
#[test]
fn endpoints_that_all_fail_alike_are_used_alike() {
    let mut pool = pool(&["one", "two"]);
    let failed = Learned { failed: 12, ..Learned::default() };
    let mut told = report(1, &[("one", 0), ("two", 0)], 0);
    told.endpoints[0].learned = Some(failed);
    told.endpoints[1].learned = Some(failed);
    pool.note_peer(at(0), peer(2), &told);
    for _ in 0..4 {
        granted(pool.arrive(at(1), demand(1, 0)));
    }
}

/// What would begin after its caller has left holds a slot for nothing.
#[test]
fn a_request_that_cannot_begin_before_its_caller_leaves_gets_no_slot() {
    let mut pool = pool(&["one"]);
    let mut late = demand(0, 0);
    late.prompt = 8_000;
    late.leaves = at(100);
    queued(pool.arrive(at(0), late));
    granted(super::support::pool(&["one"]).arrive(at(0), demand(0, 0)));
}

/// Thirty long prompts wait for the one fast endpoint, which is full, while slow ones have free slots.
#[test]
fn requests_that_wait_for_a_fast_endpoint_do_not_keep_others_from_the_rest() {
    let mut pool = pool(&["fast", "slow"]);
    for (name, step_ms) in [("fast", 2.8), ("slow", 16.0)] {
        for ms in 0..100 {
            pool.event(at(ms), &told_of(name), step_ms * 4.0 / 1_000.0);
        }
    }
    let mut long = demand(100, 0);
    long.prompt = 6_000;
    for _ in 0..2 {
        assert_eq!(granted(pool.arrive(at(100), long.clone())).endpoint.as_str(), "fast");
    }
    for _ in 0..90 {
        queued(pool.arrive(at(100), Demand { leaves: at(60_000), ..long.clone() }));
    }
    // Nor is it refused for them, or put behind them.
    let hasty = Demand { leaves: at(1_600), ..demand(100, 2) };
    let placed = granted(pool.arrive(at(100), hasty.clone()));
    assert_eq!(placed.endpoint.as_str(), "slow");
    granted(pool.arrive(at(100), hasty.clone()));
    let returning = Demand { returning: true, ..hasty };
    let lesser = queued(pool.arrive(at(100), returning));
    assert!(grants(&mut pool, 100).is_empty());
    pool.end(at(110), &placed, 0, Outcome::Served);
    let next: Vec<_> = grants(&mut pool, 110).into_iter().map(|(ticket, _)| ticket).collect();
    assert_eq!(next, [lesser]);
}

/// Under lasting overload there is always a shorter answer that has just been asked for.
#[test]
fn a_long_answer_that_has_waited_for_a_while_goes_before_a_short_one_that_has_just_come() {
    let mut pool = pool(&["one"]);
    let first = granted(pool.arrive(at(0), demand(0, 0)));
    granted(pool.arrive(at(0), demand(0, 0)));
    let mut long = demand(0, 0);
    long.expected = 2_000.0;
    long.objective = at(800);
    let long = queued(pool.arrive(at(0), long));
    let mut short = demand(450, 0);
    short.objective = at(1_250);
    queued(pool.arrive(at(450), short));
    assert_eq!(end(&mut pool, 500, &first), [long]);
}

/// The report that would have told of the end of its work was lost, and the daemon has had none since.
#[test]
fn work_that_a_peer_does_not_repeat_is_forgotten() {
    let mut pool = pool(&["one"]);
    pool.note_peer(at(0), peer(2), &report(1, &[("one", 2)], 0));
    queued(pool.arrive(at(1), demand(1, 0)));
    pool.expire_peers(at(1_500));
    assert!(grants(&mut pool, 1_500).is_empty(), "two reports may be lost");
    pool.expire_peers(at(1_700));
    assert_eq!(grants(&mut pool, 1_700).len(), 1);
}

/// An endpoint crashes and starts again under its name while it has work.
#[test]
fn what_belonged_to_an_earlier_start_of_an_endpoint_is_forgotten() {
    let mut pool = pool(&["one"]);
    let before =
        [granted(pool.arrive(at(0), demand(0, 0))), granted(pool.arrive(at(0), demand(0, 0)))];
    let waiting = queued(pool.arrive(at(10), demand(10, 0)));
    pool.note_peer(at(20), peer(2), &report(1, &[("one", 2)], 0));
    pool.list(at(30), &RosterEntry { start: 1, ..entry("one") });
    let after = grants(&mut pool, 30);
    assert_eq!(after.len(), 1, "two free slots for one request");
    assert_eq!(after[0].0, waiting);
    // What becomes of the work of the earlier start neither frees a slot nor speaks against the new one.
    for grant in &before {
        pool.end(at(40), grant, grant.prompt, Outcome::Unreachable);
    }
    assert_eq!(pool.states(at(50))[0].own, 1);
    granted(pool.arrive(at(50), demand(50, 0)));
    queued(pool.arrive(at(50), demand(50, 0)));
    // A late report of another daemon's work at the earlier start.
    pool.note_peer(at(60), peer(2), &report(2, &[("one", 2)], 0));
    assert_eq!(pool.states(at(60))[0].others, 0);
}

/// Short requests of a plain service at more than it can do: its slots are not left free for the way there and back.
#[test]
fn one_request_may_wait_at_a_full_plain_endpoint_but_none_at_an_engine() {
    let entry = RosterEntry { slots: 4, ..entry("one") };
    let plain = Demand { prompt: 0, expected: 0.0, gap: Duration::ZERO, ..demand(0, 0) };
    for (event_tokens, most) in [(0, 5), (4, 4)] {
        let mut pool = Pool::new(PoolParams::default(), event_tokens);
        pool.list(at(0), &entry);
        for _ in 0..most {
            granted(pool.arrive(at(0), plain.clone()));
        }
        queued(pool.arrive(at(0), plain.clone()));
    }
    // Off by a setting.
    let params = PoolParams { queue_slots: u32::MAX, ..PoolParams::default() };
    let mut pool = Pool::new(params, 0);
    pool.list(at(0), &entry);
    for _ in 0..4 {
        granted(pool.arrive(at(0), plain.clone()));
    }
    queued(pool.arrive(at(0), plain));
}
