//! The model of commits.

use trefoildyke_spec::commits::{Bounds, World, explore, reach};

use crate::verdict;

fn holds(bounds: &Bounds) {
    verdict::holds(bounds, explore);
}

fn counterexample(bounds: &Bounds) -> String {
    verdict::counterexample(explore(bounds))
}

#[test]
fn two_owners_at_once() {
    holds(&Bounds::new());
    holds(&Bounds { limit: 100_000, ..Bounds::new() });
}

#[test]
fn ageing() {
    holds(&Bounds { ageing: true, losses: 1, ..Bounds::new() });
}

#[test]
fn both_requests_are_recorded() {
    let goal = |world: &World| world.created.len() == 2 && world.losses == 0;
    assert!(reach(&Bounds::new(), goal).is_some());
}

#[test]
fn without_comparing_the_revision() {
    insta::assert_snapshot!(counterexample(&Bounds { compare: false, ..Bounds::new() }));
}

#[test]
fn without_allowing_for_clocks_that_differ() {
    let bounds = Bounds { ageing: true, skew_ms: 0, losses: 0, ..Bounds::new() };
    insta::assert_snapshot!(counterexample(&bounds));
}
