//! The model of rollouts.

use trefoildyke_decide::gateway::Stage;
use trefoildyke_spec::rollouts::{Bounds, explore, reach};

use crate::verdict;

const TWO: Bounds = Bounds {
    daemons: 2,
    changes: 5,
    restarts: 0,
    sends: true,
    compares: true,
    calm_end: true,
    waits: true,
};

#[test]
fn a_move_ends_one_way_and_cuts_nothing_whatever_the_store_loses() {
    // No requests are sent here: a daemon that restarts between the last decision and its write may still
    // send requests to the old version.
    let restarting = Bounds { restarts: 1, sends: false, ..TWO };
    for bounds in [TWO, restarting] {
        let report = explore(&bounds);
        println!("{} states {bounds:?}", report.states);
        assert!(report.broken.is_none(), "{}", report.broken.unwrap());
        for stage in [Stage::Complete, Stage::Reverted] {
            assert!(reach(&bounds, stage).is_some(), "{stage:?} is never reached");
        }
    }
}

#[test]
fn without_comparing_the_record() {
    let bounds = Bounds { compares: false, sends: false, ..TWO };
    insta::assert_snapshot!(verdict::counterexample(explore(&bounds)));
}

/// A limit that no order of writes removes: a daemon must stop the rollout without waiting for the store,
/// which may still apply the write of the last stage.
#[test]
fn a_version_that_turns_bad_while_the_last_step_is_on_its_way() {
    insta::assert_snapshot!(verdict::counterexample(explore(&Bounds { calm_end: false, ..TWO })));
}

#[test]
fn without_waiting_until_all_have_heard() {
    insta::assert_snapshot!(verdict::counterexample(explore(&Bounds { waits: false, ..TWO })));
}
