//! The model of orders.

use trefoildyke_spec::orders::{Bounds, World, explore, reach};

use crate::verdict;

fn holds(bounds: &Bounds) {
    verdict::holds(bounds, explore);
}

fn counterexample(bounds: &Bounds) -> String {
    verdict::counterexample(explore(bounds))
}

#[test]
fn an_engine_that_ignores_tokens_is_protected_by_time() {
    holds(&Bounds::new());
}

#[test]
fn an_engine_that_checks_tokens_is_protected_whatever_the_pause() {
    holds(&Bounds { checks_fencing: true, pause: 5, end: 5, ..Bounds::new() });
}

#[test]
fn both_daemons_get_to_send() {
    let goal = |world: &World| world.effects == [1, 2];
    assert!(reach(&Bounds::new(), goal).is_some());
}

#[test]
fn without_the_margin() {
    insta::assert_snapshot!(counterexample(&Bounds { takeover_delay: 0, ..Bounds::new() }));
}

#[test]
fn without_the_guard_time() {
    insta::assert_snapshot!(counterexample(&Bounds { clock_margin: 0, ..Bounds::new() }));
}

#[test]
fn without_the_settle_time() {
    insta::assert_snapshot!(counterexample(&Bounds { settle_time: 0, ..Bounds::new() }));
}

#[test]
fn without_the_look_at_the_clock_after_a_pause() {
    insta::assert_snapshot!(counterexample(&Bounds { rechecks_clock: false, ..Bounds::new() }));
}

/// What remains: a longer pause between the last look at the clock and the write.
#[test]
fn a_pause_longer_than_guard_and_margin() {
    insta::assert_snapshot!(counterexample(&Bounds { pause: 3, ..Bounds::new() }));
}
