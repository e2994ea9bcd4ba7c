//! The action after a failed send.

use proptest::prelude::*;
use trefoildyke_decide::gateway::{Attempt, Failure, Next, Repeat};

fn failed(repeat: Repeat, limit: u32, failures: &[Failure]) -> Next {
    let mut attempt = Attempt::new(repeat, limit);
    let mut next = Next::Again;
    for failure in failures {
        attempt.sent();
        next = attempt.failed(*failure, || true);
    }
    next
}

#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    assert_eq!(failed(Repeat::Never, 3, &[Failure::Lost]), Next::Unknown);
    assert_eq!(failed(Repeat::Never, 3, &[Failure::Cut]), Next::Unknown);
    assert_eq!(failed(Repeat::Never, 3, &[Failure::Failed]), Next::PassOn);
}

#[test]
fn a_request_that_was_rejected_is_sent_again_whatever_its_kind() {
    assert_eq!(failed(Repeat::Never, 1, &[Failure::Rejected]), Next::Again);
    assert_eq!(failed(Repeat::Never, 1, &[Failure::NotSent]), Next::Again);
}

#[test]
fn an_idempotent_request_runs_at_no_more_endpoints_than_allowed() {
    assert_eq!(failed(Repeat::Idempotent, 2, &[Failure::Lost]), Next::Again);
    assert_eq!(failed(Repeat::Idempotent, 2, &[Failure::Lost, Failure::Failed]), Next::PassOn);
    assert_eq!(failed(Repeat::Idempotent, 2, &[Failure::Lost, Failure::Lost]), Next::Unknown);
}

#[test]
fn a_rejection_without_budget_says_that_nothing_ran() {
    let mut attempt = Attempt::new(Repeat::Never, 1);
    attempt.sent();
    assert_eq!(attempt.failed(Failure::Rejected, || false), Next::NotRun);
}

#[test]
fn a_rejection_after_a_lost_answer_does_not_say_that_nothing_ran() {
    let mut attempt = Attempt::new(Repeat::Idempotent, 2);
    attempt.sent();
    assert_eq!(attempt.failed(Failure::Lost, || true), Next::Again);
    attempt.sent();
    assert_eq!(attempt.failed(Failure::Rejected, || false), Next::Unknown);
}

#[test]
fn a_first_send_that_was_not_written_costs_no_budget() {
    let mut attempt = Attempt::new(Repeat::Never, 1);
    attempt.sent();
    assert_eq!(attempt.failed(Failure::NotSent, || false), Next::Again);
}

fn failures() -> impl Strategy<Value = Vec<(Failure, bool)>> {
    let failure = prop_oneof![
        Just(Failure::NotSent),
        Just(Failure::Rejected),
        Just(Failure::Lost),
        Just(Failure::Cut),
        Just(Failure::Failed)
    ];
    proptest::collection::vec((failure, any::<bool>()), 1..12)
}

proptest! {
    #[test]
    fn not_run_is_said_only_if_nothing_can_have_run(
        idempotent: bool, limit in 1_u32..4, failures in failures(),
    ) {
        let repeat = if idempotent { Repeat::Idempotent } else { Repeat::Never };
        let mut attempt = Attempt::new(repeat, limit);
        let mut runs = 0;
        for (failure, has_budget) in failures {
            prop_assert!(runs == 0 || idempotent, "a second send after a possible run");
            attempt.sent();
            runs += u32::from(matches!(failure, Failure::Lost | Failure::Cut | Failure::Failed));
            prop_assert!(runs <= limit);
            match attempt.failed(failure, || has_budget) {
                Next::Again => {}
                Next::NotRun => {
                    prop_assert_eq!(runs, 0);
                    break;
                }
                Next::Unknown | Next::PassOn => {
                    prop_assert!(runs > 0);
                    break;
                }
            }
        }
    }
}
