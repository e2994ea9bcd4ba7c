//! The model of configuration versions.

use trefoildyke_spec::configuration::{Bounds, Guards, Phase, Verdict, World, explore, reach};

use crate::verdict;

fn holds(bounds: &Bounds) {
    verdict::holds(bounds, explore);
}

fn counterexample(bounds: &Bounds) -> String {
    verdict::counterexample(explore(bounds))
}

fn verdicts(world: &World) -> Vec<Verdict> {
    let told = |phase: &Phase| match phase {
        Phase::Told(verdict) => Some(*verdict),
        _ => None,
    };
    world.attempts.iter().flatten().filter_map(|attempt| told(&attempt.phase)).collect()
}

#[test]
fn racing_operators_at_two_daemons() {
    holds(&Bounds::new(2, 2));
}

#[test]
fn of_two_racing_operators_one_wins_and_one_gets_a_conflict() {
    let goal = |world: &World| verdicts(world) == [Verdict::Accepted(1), Verdict::Conflict];
    assert!(reach(&Bounds::new(2, 2), goal).is_some());
}

#[test]
fn without_only_rising() {
    let guards = Guards { rises: false, ..Guards::ALL };
    insta::assert_snapshot!(counterexample(&Bounds { guards, ..Bounds::new(2, 1) }));
}

#[test]
fn without_settling_by_the_nonce() {
    let guards = Guards { nonce: false, ..Guards::ALL };
    insta::assert_snapshot!(counterexample(&Bounds { guards, ..Bounds::new(2, 2) }));
}

#[test]
fn without_comparing_the_revision() {
    let guards = Guards { compare: false, ..Guards::ALL };
    insta::assert_snapshot!(counterexample(&Bounds { guards, ..Bounds::new(2, 2) }));
}

/// A remaining limit: the guards do not help if the service itself loses a change that it has confirmed.
#[test]
fn a_service_that_forgets() {
    insta::assert_snapshot!(counterexample(&Bounds { forgets: true, ..Bounds::new(2, 2) }));
}
