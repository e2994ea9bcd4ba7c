//! The action after a failed send.

use proptest::prelude::*;
use trefoildyke_decide::gateway::{Attempt, Failure, RetryAction, RetryPolicy};

fn failed(policy: RetryPolicy, limit: u32, failures: &[Failure]) -> RetryAction {
    let mut attempt = Attempt::new(policy, limit);
    let mut next = RetryAction::Again;
    for failure in failures {
        attempt.sent();
        next = attempt.failed(*failure, || true);
    }
    next
}

#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    assert_eq!(failed(RetryPolicy::Never, 3, &[Failure::Lost]), RetryAction::Unknown);
    assert_eq!(failed(RetryPolicy::Never, 3, &[Failure::Cut]), RetryAction::Unknown);
    assert_eq!(failed(RetryPolicy::Never, 3, &[Failure::Failed]), RetryAction::PassOn);
}

#[test]
fn a_request_that_was_rejected_is_sent_again_whatever_its_kind() {
    assert_eq!(failed(RetryPolicy::Never, 1, &[Failure::Rejected]), RetryAction::Again);
    assert_eq!(failed(RetryPolicy::Never, 1, &[Failure::NotSent]), RetryAction::Again);
}

#[test]
fn an_idempotent_request_runs_at_no_more_endpoints_than_allowed() {
    assert_eq!(failed(RetryPolicy::Idempotent, 2, &[Failure::Lost]), RetryAction::Again);
    assert_eq!(
        failed(RetryPolicy::Idempotent, 2, &[Failure::Lost, Failure::Failed]),
        RetryAction::PassOn
    );
    assert_eq!(
        failed(RetryPolicy::Idempotent, 2, &[Failure::Lost, Failure::Lost]),
        RetryAction::Unknown
    );
}

#[test]
fn a_rejection_without_budget_says_that_nothing_ran() {
    let mut attempt = Attempt::new(RetryPolicy::Never, 1);
    attempt.sent();
    assert_eq!(attempt.failed(Failure::Rejected, || false), RetryAction::NotRun);
}

#[test]
fn a_rejection_after_a_lost_answer_does_not_say_that_nothing_ran() {
    let mut attempt = Attempt::new(RetryPolicy::Idempotent, 2);
    attempt.sent();
    assert_eq!(attempt.failed(Failure::Lost, || true), RetryAction::Again);
    attempt.sent();
    assert_eq!(attempt.failed(Failure::Rejected, || false), RetryAction::Unknown);
}

/// The late send may still run, so a rejection of the one beside it does not show that nothing ran.
#[test]
fn a_rejection_beside_a_late_send_does_not_say_that_nothing_ran() {
    let mut attempt = Attempt::new(RetryPolicy::Idempotent, 2);
    attempt.sent();
    attempt.sent();
    assert_eq!(attempt.failed_beside(Failure::Rejected, || false), RetryAction::Wait);
    assert_eq!(attempt.failed(Failure::Lost, || false), RetryAction::Unknown);
}

#[test]
fn a_request_of_which_all_sends_were_rejected_has_not_run() {
    let mut attempt = Attempt::new(RetryPolicy::Idempotent, 2);
    attempt.sent();
    attempt.sent();
    assert_eq!(attempt.failed_beside(Failure::Rejected, || false), RetryAction::Wait);
    assert_eq!(attempt.failed(Failure::Rejected, || false), RetryAction::NotRun);
}

#[test]
fn a_first_send_that_was_not_written_costs_no_budget() {
    let mut attempt = Attempt::new(RetryPolicy::Never, 1);
    attempt.sent();
    assert_eq!(attempt.failed(Failure::NotSent, || false), RetryAction::Again);
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
        let policy = if idempotent { RetryPolicy::Idempotent } else { RetryPolicy::Never };
        let mut attempt = Attempt::new(policy, limit);
        let mut runs = 0;
        for (failure, has_budget) in failures {
            prop_assert!(runs == 0 || idempotent, "a second send after a possible run");
            attempt.sent();
            runs += u32::from(matches!(failure, Failure::Lost | Failure::Cut | Failure::Failed));
            prop_assert!(runs <= limit);
            match attempt.failed(failure, || has_budget) {
                RetryAction::Again => {}
                RetryAction::Wait => prop_assert!(false, "no other send is in progress"),
                RetryAction::NotRun => {
                    prop_assert_eq!(runs, 0);
                    break;
                }
                RetryAction::Unknown | RetryAction::PassOn => {
                    prop_assert!(runs > 0);
                    break;
                }
            }
        }
    }
}
