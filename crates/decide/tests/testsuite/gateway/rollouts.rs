//! Rollouts of new versions of a service.

use proptest::prelude::*;
use trefoildyke_decide::gateway::{
    Access, Admission, Answers, Comparison, Exposure, Finding, Grant, Judge, Outcome, Pool,
    PoolParams, PoolRequest, QueueDecision, Rollout, Rollouts, RosterEntry, Stage,
};

use super::support::{at, entry, queued, request};

const SHARE: f64 = 0.1;

fn rollout(order: u64, stage: Stage) -> Rollout {
    let from = (stage != Stage::Ordered).then(|| "v1".into());
    Rollout {
        service: "assistant".into(),
        order,
        from,
        to: "v2".into(),
        within_ms: 12_000,
        age_ms: 0,
        stage,
    }
}

fn of_version(name: &str, version: &str) -> RosterEntry {
    RosterEntry { version: version.into(), slots: 6, ..entry(name) }
}

/// Returns ten endpoints of the old version and ten of the new one.
fn listed() -> Vec<RosterEntry> {
    let old = (0..10).map(|number| of_version(&format!("old-{number}"), "v1"));
    old.chain((0..10).map(|number| of_version(&format!("new-{number}"), "v2"))).collect()
}

fn known(rollouts: &[Rollout]) -> Rollouts {
    let mut known = Rollouts::default();
    known.note_listed(&[&of_version("old", "v1")]);
    known.learn(at(0), rollouts);
    known
}

fn accesses(rollouts: &Rollouts, is_fresh: bool) -> (Access, Access, Access) {
    let gate = rollouts.gate(&"assistant".into(), SHARE, is_fresh);
    let access = |version: &str| gate.access(&version.into());
    (access("v1"), access("v2"), access("v3"))
}

#[test]
fn each_stage_says_which_versions_run_requests() {
    use Access::{Canary, Full, None};
    assert_eq!(accesses(&known(&[]), true), (Full, None, None), "orders not read yet");
    let by_stage = [
        (Stage::Ordered, (Full, None, Full)),
        (Stage::Canary, (Full, Canary, Full)),
        (Stage::Moving, (None, Full, None)),
        (Stage::Stopped, (Full, None, Full)),
        (Stage::Reverted, (Full, None, Full)),
        (Stage::Complete, (None, Full, Full)),
    ];
    for (stage, wanted) in by_stage {
        assert_eq!(accesses(&known(&[rollout(5, stage)]), true), wanted, "{stage:?}");
    }
}

/// Guards against refusing a service for good whose endpoints move to another version without an order.
#[test]
fn without_an_order_all_listed_versions_run_requests() {
    let mut known = known(&[]);
    known.note_orders_read();
    assert_eq!(accesses(&known, true), (Access::Full, Access::Full, Access::Full));
}

/// Guards against refusing a service for good whose endpoints move to another version after a rollout.
#[test]
fn after_a_rollout_other_versions_run_requests_without_an_order() {
    let mut known = known(&[rollout(5, Stage::Complete)]);
    known.note_listed(&[&of_version("late", "v3")]);
    assert_eq!(accesses(&known, true), (Access::Full, Access::Full, Access::Full));
    known.learn(at(0), &[Rollout { to: "v4".into(), ..rollout(6, Stage::Ordered) }]);
    let next = known.next(at(0), &"assistant".into(), finding(Comparison::Open)).unwrap();
    assert_eq!(next.from, Some("v3".into()));
}

/// Other daemons may have found that the version is bad.
#[test]
fn a_daemon_that_has_heard_nothing_for_a_while_keeps_to_the_old_version() {
    let known = known(&[rollout(5, Stage::Canary)]);
    assert_eq!(accesses(&known, false), (Access::Full, Access::None, Access::Full));
}

#[test]
fn an_order_that_replaces_another_stops_it() {
    let mut known = known(&[rollout(5, Stage::Moving)]);
    known.learn(at(0), &[Rollout { to: "v3".into(), ..rollout(6, Stage::Ordered) }]);
    assert_eq!(accesses(&known, true), (Access::Full, Access::None, Access::None));
    known.learn(at(0), &[Rollout { to: "v3".into(), ..rollout(6, Stage::Canary) }]);
    assert_eq!(accesses(&known, true), (Access::Full, Access::None, Access::Canary));
}

#[test]
fn a_version_that_was_reverted_is_tried_again_if_it_is_ordered_again() {
    let mut known = known(&[rollout(5, Stage::Reverted), rollout(5, Stage::Canary)]);
    assert_eq!(accesses(&known, true).1, Access::None);
    known.learn(at(0), &[rollout(6, Stage::Canary)]);
    assert_eq!(accesses(&known, true).1, Access::Canary);
}

#[test]
fn a_daemon_that_starts_during_a_rollout_takes_the_version_that_was_not_ordered_for_the_old_one() {
    let entries = listed();
    let entries: Vec<_> = entries.iter().collect();
    let back = Rollout { to: "v1".into(), ..rollout(5, Stage::Ordered) };
    let mut first = Rollouts::default();
    first.note_listed(&entries);
    first.learn(at(0), std::slice::from_ref(&back));
    let mut later = Rollouts::default();
    later.learn(at(0), &[back]);
    later.note_listed(&entries);
    for known in [first, later] {
        assert_eq!(accesses(&known, true), (Access::None, Access::Full, Access::Full));
    }
}

fn finding(comparison: Comparison) -> Finding {
    Finding { comparison, old_is_idle: false, only_new_listed: false }
}

fn next(stage: Stage, ms: u64, finding: Finding) -> Option<Stage> {
    let known = known(&[rollout(5, stage)]);
    known.next(at(ms), &"assistant".into(), finding).map(|next| next.stage)
}

#[test]
fn each_stage_and_finding_lead_to_the_right_next_stage() {
    let (open, good) = (finding(Comparison::Open), finding(Comparison::Good));
    let bad = finding(Comparison::Bad { evidence: 12.0 });
    assert_eq!(next(Stage::Ordered, 100, open), Some(Stage::Canary));
    assert_eq!(next(Stage::Canary, 1_000, good), None, "it may turn bad later");
    assert_eq!(next(Stage::Canary, 7_000, good), Some(Stage::Moving));
    assert_eq!(next(Stage::Canary, 7_000, open), None);
    assert_eq!(next(Stage::Canary, 11_000, open), Some(Stage::Stopped));
    assert_eq!(next(Stage::Canary, 1_000, bad), Some(Stage::Stopped));
    assert_eq!(next(Stage::Moving, 8_000, bad), Some(Stage::Stopped));
    assert_eq!(next(Stage::Moving, 20_000, good), None, "the old version still runs requests");
    let idle = Finding { old_is_idle: true, ..good };
    assert_eq!(next(Stage::Moving, 8_000, idle), Some(Stage::Complete));
    assert_eq!(next(Stage::Stopped, 8_000, good), Some(Stage::Reverted));
    assert_eq!(next(Stage::Reverted, 8_000, idle), None);
    assert_eq!(next(Stage::Complete, 8_000, bad), None);
}

#[test]
fn an_order_to_the_version_in_force_is_complete_at_once() {
    let alone = Finding { only_new_listed: true, ..finding(Comparison::Open) };
    assert_eq!(next(Stage::Ordered, 0, alone), Some(Stage::Complete));
}

fn placed(pool: &mut Pool, request: PoolRequest, ms: u64) -> Option<Grant> {
    match pool.submit(at(ms), request) {
        Admission::Granted(grant) => Some(grant),
        Admission::Queued(ticket) => {
            let settled = pool.settle(at(ms)).into_iter().find(|(other, _)| *other == ticket);
            pool.cancel(at(ms), ticket);
            settled.and_then(|(_, settled)| match settled {
                QueueDecision::Granted(grant) => Some(grant),
                QueueDecision::Refused(_) => None,
            })
        }
        Admission::Refused(_) => None,
    }
}

fn pool_at(stage: Option<Stage>) -> Pool {
    let mut pool = Pool::new(PoolParams::default(), 4);
    for entry in listed() {
        pool.upsert_endpoint(at(0), &entry);
    }
    let rollouts: Vec<_> = stage.map(|stage| rollout(5, stage)).into_iter().collect();
    pool.set_gate(at(0), known(&rollouts).gate(&"assistant".into(), SHARE, true));
    pool
}

/// Plays forty requests per second on five routes, one of them rare. Returns the route of each
/// request and whether the new version got it.
fn play(pool: &mut Pool) -> Vec<(u32, bool)> {
    let mut running: Vec<(u64, Grant)> = Vec::new();
    let mut played = Vec::new();
    for number in 0..800_u64 {
        let ms = number * 25;
        let (ended, left): (Vec<_>, _) = running.into_iter().partition(|(end, _)| *end <= ms);
        running = left;
        for (_, grant) in ended {
            pool.record_first_event(at(ms), &grant, grant.prompt);
            pool.end_request(at(ms), &grant, grant.prompt, Outcome::Served);
        }
        let route = if number % 50 == 0 { 4 } else { (number % 4) as u32 };
        if let Some(grant) = placed(pool, PoolRequest { route, ..request(ms, 0) }, ms) {
            played.push((route, grant.endpoint.as_str().starts_with("new")));
            running.push((ms + 400, grant));
        }
    }
    played
}

#[test]
fn nothing_goes_to_a_version_that_nobody_ordered_or_that_was_reverted() {
    for stage in [None, Some(Stage::Ordered), Some(Stage::Stopped), Some(Stage::Reverted)] {
        assert!(play(&mut pool_at(stage)).iter().all(|(_, is_new)| !is_new), "{stage:?}");
    }
    for stage in [Stage::Moving, Stage::Complete] {
        assert!(play(&mut pool_at(Some(stage))).iter().all(|(_, is_new)| *is_new), "{stage:?}");
    }
}

#[test]
fn a_canary_gets_its_share_at_every_moment_and_of_every_route() {
    let played = play(&mut pool_at(Some(Stage::Canary)));
    let mut tried = 0;
    for (number, (_, is_new)) in played.iter().enumerate() {
        tried += usize::from(*is_new);
        assert!(tried as f64 <= (number + 1) as f64 * SHARE, "{tried} of {}", number + 1);
    }
    assert!(tried as f64 > played.len() as f64 * SHARE * 0.6, "{tried} of {}", played.len());
    for route in 0..5 {
        let first = played.iter().position(|(other, is_new)| *other == route && *is_new);
        assert!(first.is_some_and(|first| first < 400), "route {route}: {first:?}");
    }
}

/// A daemon that hears nothing for some seconds pauses the canary. The earlier answers still count
/// against the version.
#[test]
fn answers_are_kept_over_a_pause_of_the_canary() {
    let mut pool = pool_at(Some(Stage::Canary));
    let played = play(&mut pool);
    let rollouts = known(&[rollout(5, Stage::Canary)]);
    for is_fresh in [false, true] {
        pool.set_gate(at(20_000), rollouts.gate(&"assistant".into(), SHARE, is_fresh));
    }
    let ((placed, _), [(_, new), _]) = pool.canary_request_counts();
    assert_eq!(placed, played.len() as u64);
    assert!(new.count > 0);
    let again = known(&[rollout(6, Stage::Canary)]);
    pool.set_gate(at(20_000), again.gate(&"assistant".into(), SHARE, true));
    assert_eq!(pool.canary_request_counts().0, (0, 0));
}

/// Each daemon that takes over the placing of requests starts with empty counts, and keeps to the
/// share of the requests that it places itself.
#[test]
fn the_share_holds_when_daemons_take_over_from_each_other() {
    let (mut tried, mut sum) = (0_u32, 0_u32);
    for _ in 0..20 {
        let played = play(&mut pool_at(Some(Stage::Canary)));
        for (_, is_new) in played.iter().take(60) {
            sum += 1;
            tried += u32::from(*is_new);
            assert!(f64::from(tried) <= f64::from(sum) * SHARE, "{tried} of {sum}");
        }
    }
}

#[test]
fn few_canary_endpoints_are_used_so_that_each_is_as_busy_as_the_old_ones() {
    let mut pool = pool_at(Some(Stage::Canary));
    let mut running = Vec::new();
    for number in 0..66 {
        running.extend(placed(&mut pool, request(0, 0), number % 2));
    }
    let used = |grant: &&Grant| grant.endpoint.as_str().starts_with("new");
    let used: std::collections::BTreeSet<_> =
        running.iter().filter(used).map(|grant| grant.endpoint.clone()).collect();
    assert!((1..=2).contains(&used.len()), "{used:?}");
}

#[test]
fn a_place_at_a_stopped_version_is_not_taken() {
    let mut pool = pool_at(Some(Stage::Stopped));
    assert!(pool.accept_grant(at(0), &"new-1".into(), &request(0, 0), 10).is_none());
    assert!(pool.accept_grant(at(0), &"old-1".into(), &request(0, 0), 10).is_some());
}

#[test]
fn old_endpoints_are_idle_once_nothing_ran_there_for_a_while() {
    let mut pool = pool_at(Some(Stage::Canary));
    let grant = placed(&mut pool, request(0, 0), 0).unwrap();
    let gate = known(&[rollout(5, Stage::Moving)]).gate(&"assistant".into(), SHARE, true);
    pool.set_gate(at(100), gate);
    let is_idle = |pool: &mut Pool, ms| {
        pool.expire_peers(at(ms));
        pool.rollout_status(at(ms), &"v2".into()).old_is_idle
    };
    assert!(!is_idle(&mut pool, 5_000), "one request runs");
    pool.end_request(at(5_010), &grant, 0, Outcome::Served);
    assert!(!is_idle(&mut pool, 5_100));
    assert!(is_idle(&mut pool, 5_700));
}

#[test]
fn a_full_canary_does_not_keep_a_queued_request_from_the_old_version() {
    let mut pool = pool_at(Some(Stage::Canary));
    let mut running = Vec::new();
    for _ in 0..200 {
        running.extend(placed(&mut pool, request(0, 0), 0));
    }
    let ticket = queued(pool.submit(at(10), request(10, 0)));
    let old = running.iter().find(|grant| grant.endpoint.as_str().starts_with("old")).unwrap();
    pool.end_request(at(20), old, old.prompt, Outcome::Served);
    let settled = pool.settle(at(20));
    assert!(settled.iter().any(|(other, _)| *other == ticket));
}

fn stages() -> impl Strategy<Value = Stage> {
    let all = [Stage::Ordered, Stage::Canary, Stage::Moving, Stage::Stopped, Stage::Reverted];
    prop::sample::select(all.to_vec())
}

proptest! {
    /// Messages come late, twice and in any order.
    #[test]
    fn daemons_that_learned_the_same_rollouts_are_in_the_same_state(
        (learned, shuffled) in prop::collection::vec((1_u64..4, stages()), 1..8)
            .prop_flat_map(|learned| (Just(learned.clone()), Just(learned).prop_shuffle())),
    ) {
        let all = |learned: &[(u64, Stage)]| {
            let mut known = known(&[]);
            let mut last = None;
            for (order, stage) in learned {
                known.learn(at(0), &[rollout(*order, *stage)]);
                let now = known.get(at(0), &"assistant".into()).map(|now| (now.order, now.stage));
                assert!(now >= last, "a stage went back");
                last = now;
            }
            (known.hash(), accesses(&known, true))
        };
        prop_assert_eq!(all(&learned), all(&shuffled));
    }

    /// The share holds at every moment for any mix of routes.
    #[test]
    fn the_share_holds_at_every_moment(routes in prop::collection::vec(0_u32..20, 1..400)) {
        let mut exposure = Exposure::default();
        for route in routes {
            let is_canary = exposure.allows(route, SHARE);
            exposure.note(route, is_canary);
            let (placed, tried) = exposure.counts();
            prop_assert!(tried as f64 <= placed as f64 * SHARE);
        }
    }
}

/// Records `count` answers per route for the version in force and for each of two endpoints of the
/// canary version. Of the answers of each canary endpoint, `bad(route)` are bad.
fn note_answers(judge: &mut Judge, ms: u64, routes: u32, count: u32, bad: impl Fn(u32) -> u32) {
    for route in 0..routes {
        judge.record_baseline(at(ms), route, Answers { count, bad: 0 });
        for endpoint in ["n1", "n2"] {
            judge.record_canary(
                at(ms),
                &endpoint.into(),
                route,
                Answers { count, bad: bad(route) },
            );
        }
    }
}

/// Guards against missing failures on a single route when the total over all routes looks good.
#[test]
fn a_version_that_fails_on_one_route_only_is_found_bad() {
    let mut judge = Judge::default();
    note_answers(&mut judge, 0, 40, 20, |route| if route == 7 { 8 } else { 0 });
    assert!(matches!(judge.compare(at(100)), Comparison::Bad { .. }));
    let mut good = Judge::default();
    note_answers(&mut good, 0, 40, 20, |_| 0);
    assert_eq!(good.compare(at(100)), Comparison::Good);
}

/// Guards against earlier good answers hiding a version that starts to fail.
#[test]
fn a_version_that_turns_bad_later_is_found_bad() {
    let mut judge = Judge::default();
    for ms in (0..20_000).step_by(500) {
        note_answers(&mut judge, ms, 1, 50, |_| 0);
    }
    for ms in (20_000..22_000).step_by(500) {
        note_answers(&mut judge, ms, 1, 10, |_| 3);
    }
    assert!(matches!(judge.compare(at(22_000)), Comparison::Bad { .. }));
}
