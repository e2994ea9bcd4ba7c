//! Tests that each safety guard is needed: without it the model finds a counterexample.

use trefoildyke_decide::coordinate;
use trefoildyke_spec::{
    invariant::Invariant,
    requests::{Bounds, Guards, Kind, explore, explore_for},
};

use crate::verdict;

const ONCE: Kind = Kind::Chosen { idempotent: false };

fn counterexample(bounds: &Bounds, invariant: Invariant) -> String {
    verdict::counterexample(explore_for(bounds, invariant))
}

#[test]
fn without_the_intent() {
    let guards = Guards { intent: false, ..Guards::ALL };
    insta::assert_snapshot!(counterexample(
        &Bounds { guards, ..Bounds::new(2, ONCE) },
        Invariant::NonIdempotentRunsOnce
    ));
}

#[test]
fn without_the_nonce() {
    let guards = Guards { nonce: false, ..Guards::ALL };
    insta::assert_snapshot!(counterexample(
        &Bounds { guards, ..Bounds::new(2, ONCE) },
        Invariant::NonIdempotentRunsOnce
    ));
}

#[test]
fn without_the_issuer_in_the_id() {
    let guards = Guards { issuer: false, ..Guards::ALL };
    insta::assert_snapshot!(counterexample(
        &Bounds { guards, ..Bounds::new(2, Kind::Issued) },
        Invariant::AtMostOnceDispatch
    ));
}

#[test]
fn without_the_mark_of_an_unrecorded_id() {
    let guards = Guards { mark: false, ..Guards::ALL };
    insta::assert_snapshot!(counterexample(
        &Bounds { guards, ..Bounds::new(2, Kind::Issued) },
        Invariant::AtMostOnceDispatch
    ));
}

#[test]
fn without_the_retention() {
    let guards = Guards { retention: false, ..Guards::ALL };
    let bounds = Bounds { guards, ageing: true, ..Bounds::new(2, ONCE) };
    insta::assert_snapshot!(counterexample(&bounds, Invariant::NonIdempotentRunsOnce));
}

#[test]
fn without_the_second_check_of_the_age() {
    let guards = Guards { recheck: false, ..Guards::ALL };
    let bounds = Bounds { guards, ageing: true, ..Bounds::new(2, ONCE) };
    insta::assert_snapshot!(counterexample(&bounds, Invariant::NonIdempotentRunsOnce));
}

#[test]
fn without_closing_the_id() {
    let guards = Guards { closing: false, ..Guards::ALL };
    insta::assert_snapshot!(counterexample(
        &Bounds { guards, ..Bounds::new(2, ONCE) },
        Invariant::TruthfulRefusal
    ));
}

#[test]
fn without_noting_that_a_retry_joined() {
    let guards = Guards { join: false, ..Guards::ALL };
    let bounds = Bounds { guards, attempts: 3, ..Bounds::new(2, ONCE) };
    insta::assert_snapshot!(counterexample(&bounds, Invariant::TruthfulRefusal));
}

#[test]
fn without_forgetting_a_refused_request() {
    let guards = Guards { forget: false, ..Guards::ALL };
    let bounds = Bounds { guards, attempts: 3, ..Bounds::new(2, ONCE) };
    insta::assert_snapshot!(counterexample(&bounds, Invariant::TruthfulRefusal));
}

/// Permits order and place requests; the safety of a dispatch does not depend on their expiry.
#[test]
fn the_permits_end_is_no_safety_guard() {
    let guards = Guards { expiry: false, ..Guards::ALL };
    for kind in [ONCE, Kind::Issued] {
        let bounds = Bounds { guards, spare_permits: 1, connects: 1, ..Bounds::new(2, kind) };
        assert!(explore(&bounds).broken.is_none());
    }
}

/// The cost of the policy that lets first attempts under chosen ids proceed during an outage.
#[test]
fn first_attempts_under_chosen_ids_in_an_outage() {
    let policy = coordinate::OutagePolicy::FirstAttempts;
    let bounds = Bounds { policy, ..Bounds::new(2, Kind::Chosen { idempotent: true }) };
    insta::assert_snapshot!(counterexample(&bounds, Invariant::AtMostOnceDispatch));
}

/// For a caller that does not mark its retries, `not_run` covers only one attempt.
#[test]
fn a_caller_that_does_not_mark_retries() {
    let bounds = Bounds { marked: false, ..Bounds::new(2, ONCE) };
    insta::assert_snapshot!(counterexample(&bounds, Invariant::TruthfulRefusal));
}
