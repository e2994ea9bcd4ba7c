//! Tests of single decisions of the controller.

use std::{collections, time::Duration};

use trefoildyke_decide::orders::{self, Action, Input, Outcome, SendResult};
use trefoildyke_types::time::Timestamp;

use super::simulation::order;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns a controller that holds the lease with token 7 since time 0, and its first actions.
fn holder(wanted: Vec<orders::Order>) -> (orders::Controller, Vec<Action>) {
    let mut controller = orders::Controller::new(orders::Params::default());
    controller.step(at(0), Input::Eligible(true));
    let version = 9;
    let actions = controller.step(at(0), Input::Orders { version, wanted });
    assert_eq!(actions, [Action::Acquire { version }]);
    let ended = collections::BTreeSet::new();
    let actions =
        controller.step(at(0), Input::Acquired { token: 7, call_start: at(0), version, ended });
    (controller, actions)
}

fn sent(version: u64, result: SendResult) -> Input {
    Input::Sent { key: order(version, true).key, result }
}

fn sent_versions(actions: &[Action]) -> Vec<u64> {
    let version = |action: &Action| match action {
        Action::Send { order, .. } => Some(order.version),
        _ => None,
    };
    actions.iter().filter_map(version).collect()
}

#[test]
fn the_lease_is_acquired_only_by_an_eligible_daemon_with_orders() {
    let mut controller = orders::Controller::new(orders::Params::default());
    let wanted = Input::Orders { version: 3, wanted: vec![order(1, true)] };
    assert!(controller.step(at(0), wanted).is_empty());
    assert!(!controller.is_busy());
    let actions = controller.step(at(0), Input::Eligible(true));
    assert_eq!(actions, [Action::Acquire { version: 3 }]);
    let ended = collections::BTreeSet::from([order(1, true).key]);
    let acquired = Input::Acquired { token: 7, call_start: at(0), version: 3, ended };
    assert_eq!(controller.step(at(0), acquired), [Action::Release]);
    assert!(!controller.is_busy());
}

#[test]
fn an_outcome_is_recorded_before_the_next_order_to_the_same_engine() {
    let (mut controller, actions) = holder(vec![order(1, true), order(2, true)]);
    assert_eq!(sent_versions(&actions), [1]);
    let actions = controller.step(at(10), sent(1, SendResult::Done));
    let key = order(1, true).key;
    assert_eq!(actions, [Action::Store { key: key.clone(), outcome: Outcome::Done, fence: 7 }]);
    assert_eq!(sent_versions(&controller.step(at(20), Input::Stored(key))), [2]);
}

#[test]
fn a_refused_order_fails_with_its_reason() {
    let (mut controller, _) = holder(vec![order(1, true)]);
    let actions = controller.step(at(10), sent(1, SendResult::Refused("no such model".to_owned())));
    let outcome = Outcome::Failed("no such model".to_owned());
    assert!(matches!(&actions[0], Action::Store { outcome: found, .. } if *found == outcome));
}

#[test]
fn a_stale_token_ends_the_lease_immediately() {
    let (mut controller, _) = holder(vec![order(1, true), order(2, true)]);
    assert!(controller.step(at(10), sent(1, SendResult::Stale)).is_empty());
    assert_eq!(controller.held_lease(), None);
}

#[test]
fn an_unknown_outcome_delays_even_a_newer_order_to_the_engine() {
    let (mut controller, _) = holder(vec![order(1, true)]);
    assert!(controller.step(at(10), sent(1, SendResult::Unknown)).is_empty());
    // Order 2 replaces order 1 but waits, because order 1 may still take effect.
    let replaced = Input::Orders { version: 9, wanted: vec![order(2, true)] };
    assert!(controller.step(at(20), replaced).is_empty());
    assert!(sent_versions(&controller.step(at(5_000), Input::Tick)).is_empty());
    assert_eq!(sent_versions(&controller.step(at(5_010), Input::Tick)), [2]);
}

#[test]
fn a_new_holder_waits_before_its_first_order_to_an_engine_without_fencing() {
    let (mut controller, actions) = holder(vec![order(1, false)]);
    assert!(sent_versions(&actions).is_empty());
    assert!(sent_versions(&controller.step(at(4_999), Input::Tick)).is_empty());
    let actions = controller.step(at(5_000), Input::Renewed { call_start: at(5_000) });
    assert_eq!(sent_versions(&actions), [1]);
}

#[test]
fn a_newer_order_waits_until_its_version_is_confirmed() {
    let (mut controller, _) = holder(vec![order(1, true)]);
    controller.step(at(10), sent(1, SendResult::Done));
    let newer = Input::Orders { version: 12, wanted: vec![order(1, true), order(12, true)] };
    let confirm = Action::Confirm { version: 12 };
    assert_eq!(controller.step(at(20), newer), std::slice::from_ref(&confirm));
    assert!(sent_versions(&controller.step(at(30), Input::Stored(order(1, true).key))).is_empty());
    assert!(controller.step(at(40), Input::NotConfirmed).is_empty());
    assert_eq!(controller.step(at(1_040), Input::Tick), [confirm]);
    assert_eq!(sent_versions(&controller.step(at(1_050), Input::Confirmed(12))), [12]);
}

#[test]
fn after_failed_renewals_the_holder_stops_before_the_lease_ends() {
    let (mut controller, _) = holder(vec![order(1, true)]);
    assert!(controller.step(at(5_000), Input::Tick).contains(&Action::Renew));
    assert!(controller.step(at(7_000), Input::NotRenewed).is_empty());
    assert!(controller.step(at(8_000), Input::Tick).contains(&Action::Renew));
    assert!(controller.step(at(12_999), Input::Tick).is_empty());
    assert!(controller.held_lease().is_some());
    controller.step(at(13_000), Input::Tick);
    assert_eq!(controller.held_lease(), None);
}

#[test]
fn a_late_renewal_counts_from_the_start_of_its_call() {
    let (mut controller, _) = holder(vec![order(1, true)]);
    controller.step(at(5_000), Input::Tick);
    controller.step(at(12_000), Input::Renewed { call_start: at(5_000) });
    controller.step(at(17_999), Input::Tick);
    assert!(controller.held_lease().is_some());
    controller.step(at(18_000), Input::Tick);
    assert_eq!(controller.held_lease(), None);
}

#[test]
fn recording_an_outcome_is_retried_after_a_failure() {
    let (mut controller, _) = holder(vec![order(1, true)]);
    controller.step(at(10), sent(1, SendResult::Done));
    assert!(controller.step(at(20), Input::NotStored(order(1, true).key)).is_empty());
    let actions = controller.step(at(20) + Duration::from_secs(1), Input::Tick);
    assert!(matches!(actions[0], Action::Store { .. }), "{actions:?}");
}
