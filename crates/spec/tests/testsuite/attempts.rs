//! The model of attempts.

use trefoildyke_decide::gateway::RetryAction;
use trefoildyke_spec::attempts::{Bounds, explore, reach};

use crate::verdict;

const ONCE: Bounds =
    Bounds { sends: 4, runs: 2, idempotent: false, unwritten: true, identified: true };
const AGAIN: Bounds = Bounds { idempotent: true, ..ONCE };

#[test]
fn a_request_runs_once_and_a_refusal_is_true_whatever_becomes_of_each_send() {
    for bounds in [ONCE, AGAIN, Bounds { runs: 1, ..ONCE }, Bounds { runs: 1, ..AGAIN }] {
        let report = explore(&bounds);
        println!("{} states {bounds:?}", report.states);
        assert!(report.broken.is_none(), "{}", report.broken.unwrap());
        for told in [RetryAction::NotRun, RetryAction::Unknown, RetryAction::PassOn] {
            assert!(reach(&bounds, told).is_some(), "{told:?} is never told");
        }
    }
}

#[test]
fn without_knowing_that_no_byte_was_written() {
    insta::assert_snapshot!(verdict::counterexample(explore(&Bounds { unwritten: false, ..ONCE })));
}

#[test]
fn without_comparing_a_rejection_with_its_request() {
    let bounds = Bounds { identified: false, ..ONCE };
    insta::assert_snapshot!(verdict::counterexample(explore(&bounds)));
}
