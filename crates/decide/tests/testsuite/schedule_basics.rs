//! Tests of the scheduler's basic behaviour: order, placement, repeated and late inputs.

use trefoildyke_decide::schedule;
use trefoildyke_types::id;

use crate::schedule_support::{Driver, ask, granted, key, key_of, permits, shed};

#[test]
fn higher_tier_goes_first() {
    let mut driver = Driver::new(1, 1);
    assert_eq!(granted(&driver.ask(ask(1, 1))), [key(1)]);
    assert_eq!(granted(&driver.ask(ask(2, 1))), []);
    assert_eq!(granted(&driver.ask(ask(3, 0))), []);
    assert_eq!(granted(&driver.finished(&key(1), 10)), [key(3)]);
}

#[test]
fn earlier_deadline_goes_first_within_an_account() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.ask(ask(2, 0));
    let mut urgent = ask(3, 0);
    urgent.left_ms = 5_000;
    driver.ask(urgent);
    assert_eq!(granted(&driver.finished(&key(1), 10)), [key(3)]);
}

#[test]
fn asking_again_repeats_the_permit() {
    let mut driver = Driver::new(1, 2);
    let first = permits(&driver.ask(ask(1, 0)));
    let again = permits(&driver.ask(ask(1, 0)));
    assert_eq!(first, again);
    assert_eq!(granted(&driver.ask(ask(2, 0))), [key(2)]);
    assert_eq!(granted(&driver.ask(ask(3, 0))), []);
}

#[test]
fn asking_again_while_waiting_adds_no_second_request() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.ask(ask(2, 0));
    driver.ask(ask(2, 0));
    assert_eq!(driver.shard.waiting_count(), 1);
}

#[test]
fn unused_permit_expires_and_frees_its_slot() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.ask(ask(2, 0));
    assert_eq!(granted(&driver.advance(2_000).tick()), []);
    assert_eq!(granted(&driver.advance(1_000).tick()), [key(2)]);
}

#[test]
fn dispatched_request_does_not_expire() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.started(&key(1));
    driver.advance(100).first_token(&key(1));
    driver.ask(ask(2, 0));
    for tokens in 2..40 {
        assert_eq!(granted(&driver.advance(100).progress(&key(1), tokens)), []);
    }
}

#[test]
fn returned_permit_grants_the_next_request() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.ask(ask(2, 0));
    let back = schedule::Report::HandBack { key: key(1) };
    assert_eq!(granted(&driver.report(back)), [key(2)]);
}

#[test]
fn repeated_and_late_reports_change_nothing() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.finished(&key(1), 10);
    driver.finished(&key(1), 10);
    driver.started(&key(1));
    driver.progress(&key(1), 5);
    assert_eq!(driver.shard.permitted_count(), 0);
    assert_eq!(granted(&driver.ask(ask(2, 0))), [key(2)]);
    assert_eq!(granted(&driver.ask(ask(3, 0))), []);
}

#[test]
fn progress_implies_start_and_first_token() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.advance(100).progress(&key(1), 3);
    driver.advance(10_000).tick();
    assert_eq!(driver.shard.permitted_count(), 1);
}

#[test]
fn leaving_endpoint_gets_no_requests() {
    let mut driver = Driver::new(2, 4);
    driver.step(schedule::Input::EndpointLeaving("e0".into()));
    for number in 0..4 {
        let permits = permits(&driver.ask(ask(number, 0)));
        assert_eq!(permits[0].endpoint.as_str(), "e1");
    }
    assert_eq!(granted(&driver.ask(ask(9, 0))), []);
}

#[test]
fn unused_permit_for_a_leaving_endpoint_is_replaced() {
    let mut driver = Driver::new(2, 1);
    let first = permits(&driver.ask(ask(1, 0)))[0].endpoint.clone();
    driver.step(schedule::Input::EndpointLeaving(first.clone()));
    let second = permits(&driver.ask(ask(1, 0)))[0].endpoint.clone();
    assert_ne!(first, second);
}

#[test]
fn endpoint_that_returns_starts_empty() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.step(schedule::Input::EndpointGone("e0".into()));
    assert_eq!(driver.shard.permitted_count(), 0);
    driver.ask(ask(2, 0));
    assert_eq!(granted(&driver.up("e0", 1)), [key(2)]);
}

#[test]
fn adopted_request_occupies_a_slot() {
    let mut driver = Driver::new(1, 1);
    let taken_over = schedule::TakenOver { ask: ask(1, 0), endpoint: "e0".into(), tokens: 0 };
    driver.step(schedule::Input::TakeOver(taken_over.clone()));
    driver.step(schedule::Input::TakeOver(taken_over));
    assert_eq!(driver.shard.permitted_count(), 1);
    assert_eq!(granted(&driver.ask(ask(2, 0))), []);
    assert_eq!(granted(&driver.finished(&key(1), 10)), [key(2)]);
}

#[test]
fn cancelled_request_is_forgotten() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.ask(ask(2, 0));
    driver.report(schedule::Report::Cancel { key: key(2) });
    assert_eq!(driver.shard.waiting_count(), 0);
    driver.report(schedule::Report::Cancel { key: key(1) });
    assert_eq!(driver.shard.permitted_count(), 0);
}

#[test]
fn request_past_its_deadline_is_refused_at_once() {
    let mut driver = Driver::new(1, 1);
    let mut late = ask(1, 0);
    late.left_ms = 0;
    assert_eq!(shed(&driver.ask(late)), [key(1)]);
    assert_eq!(driver.shard.waiting_count(), 0);
}

#[test]
fn waiting_request_is_refused_when_it_cannot_finish_in_time() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.started(&key(1));
    let mut urgent = ask(2, 0);
    urgent.left_ms = 2_000;
    driver.ask(urgent);
    assert_eq!(shed(&driver.run(1_000)), []);
    assert_eq!(shed(&driver.run(1_000)), [key(2)]);
}

#[test]
fn account_limit_sheds_the_lowest_tier_first() {
    let mut driver = Driver::new(1, 1);
    let share =
        schedule::AccountShare { account: "office".into(), weight: 1, max_waiting: Some(2) };
    driver.step(schedule::Input::Account(share));
    driver.ask(ask(1, 0));
    driver.ask(ask(2, 0));
    driver.ask(ask(3, 1));
    assert_eq!(shed(&driver.ask(ask(4, 1))), [key(4)]);
    assert_eq!(shed(&driver.ask(ask(5, 0))), [key(3)]);
    let mut other = ask(6, 1);
    other.key = key_of("school", 6);
    assert_eq!(shed(&driver.ask(other)), []);
}

#[test]
fn a_lost_coordinators_slots_become_free() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.started(&key(1));
    let mut other = ask(2, 0);
    other.coordinator = id::Incarnation::from_u64(2);
    assert_eq!(granted(&driver.ask(other)), []);
    let lost = schedule::Input::CoordinatorLost(id::Incarnation::from_u64(1));
    assert_eq!(granted(&driver.step(lost)), [key(2)]);
}

#[test]
fn a_request_taken_over_by_another_daemon_keeps_its_slot() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.started(&key(1));
    let mut taken = ask(1, 0);
    taken.coordinator = id::Incarnation::from_u64(2);
    let taken_over = schedule::TakenOver { ask: taken, endpoint: "e0".into(), tokens: 0 };
    driver.step(schedule::Input::TakeOver(taken_over));
    driver.step(schedule::Input::CoordinatorLost(id::Incarnation::from_u64(1)));
    assert_eq!(driver.shard.permitted_count(), 1);
}

/// Guards against a slot that is granted twice because an asker returns the permit of another daemon's request.
#[test]
fn a_permit_handed_back_by_one_asker_keeps_the_slot_of_a_running_request() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.started(&key(1));
    let mut second = ask(1, 0);
    second.coordinator = id::Incarnation::from_u64(2);
    assert_eq!(granted(&driver.ask(second)), [key(1)]);
    driver.ask(ask(2, 0));
    assert_eq!(granted(&driver.report(schedule::Report::HandBack { key: key(1) })), []);
    assert_eq!(granted(&driver.report(schedule::Report::Cancel { key: key(1) })), []);
    assert_eq!(granted(&driver.finished(&key(1), 10)), [key(2)]);
}

/// Guards against an asker that waits until its deadline because another daemon has dispatched its request.
#[test]
fn an_asker_is_answered_once_another_daemon_runs_its_request() {
    let mut driver = Driver::new(1, 1);
    driver.ask(ask(1, 0));
    driver.started(&key(1));
    driver.ask(ask(2, 0));
    let mut other = ask(2, 0);
    other.coordinator = id::Incarnation::from_u64(2);
    let taken_over = schedule::TakenOver { ask: other, endpoint: "e0".into(), tokens: 0 };
    assert_eq!(granted(&driver.step(schedule::Input::TakeOver(taken_over.clone()))), [key(2)]);
    assert_eq!(granted(&driver.step(schedule::Input::TakeOver(taken_over))), []);
    assert_eq!(driver.shard.waiting_count(), 0);
    driver.report(schedule::Report::HandBack { key: key(2) });
    assert_eq!(driver.shard.permitted_count(), 2);
}

#[test]
fn extreme_settings_are_tolerated() {
    let params = schedule::Params {
        step_time: std::time::Duration::ZERO,
        prefill_rate: 0.0,
        permit_ttl: std::time::Duration::MAX,
        ..Default::default()
    };
    let mut driver = Driver::with(params, 1, 1);
    assert_eq!(granted(&driver.ask(ask(1, 0))), [key(1)]);
    driver.advance(10).first_token(&key(1));
    driver.advance(100).finished(&key(1), 10);
    driver.ask(ask(2, 0));
    driver.run(30_000);
    assert_eq!(driver.shard.waiting_count(), 0);
}
