//! The model of planned stops.

use trefoildyke_spec::stops::{Bounds, Guards, World, explore, reach};

use crate::verdict;

fn holds(bounds: &Bounds) {
    verdict::holds(bounds, explore);
}

fn counterexample(guards: Guards) -> String {
    verdict::counterexample(explore(&Bounds { guards, ..Bounds::new(2) }))
}

#[test]
fn nothing_new_after_the_bound_and_nothing_cut() {
    holds(&Bounds::new(2));
    holds(&Bounds::new(3));
}

#[test]
fn a_stop_ends_after_requests_that_ran_when_it_was_accepted() {
    let goal = |world: &World| {
        let answered = |daemon: &trefoildyke_spec::stops::Daemon| {
            let phase = daemon.request.as_ref().map(|request| request.phase().clone());
            phase == Some(trefoildyke_decide::coordinate::Phase::Answered)
        };
        world.stopped && world.daemons.iter().all(|daemon| answered(daemon))
    };
    assert!(reach(&Bounds::new(2), goal).is_some());
}

#[test]
fn without_the_isolation_rule() {
    insta::assert_snapshot!(counterexample(Guards { isolation: false, ..Guards::ALL }));
}

#[test]
fn without_the_check_of_the_permit() {
    insta::assert_snapshot!(counterexample(Guards { permit: false, ..Guards::ALL }));
}

#[test]
fn without_the_check_before_the_dispatch() {
    insta::assert_snapshot!(counterexample(Guards { dispatch: false, ..Guards::ALL }));
}

#[test]
fn without_the_endpoints_own_report() {
    insta::assert_snapshot!(counterexample(Guards { load: false, ..Guards::ALL }));
}

#[test]
fn without_waiting_until_the_stop_is_in_force_everywhere() {
    insta::assert_snapshot!(counterexample(Guards { everywhere: false, ..Guards::ALL }));
}
