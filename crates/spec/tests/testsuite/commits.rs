//! The model of commits.

use trefoildyke_spec::commits::{Bounds, World, explore, reach};

fn holds(bounds: &Bounds) {
    let start = std::time::Instant::now();
    let report = explore(bounds);
    if let Some(broken) = &report.broken {
        panic!("{broken}\nafter {} states", report.states);
    }
    println!("{} states in {:?} {bounds:?}", report.states, start.elapsed());
}

fn counterexample(bounds: &Bounds) -> String {
    let broken = explore(bounds).broken;
    broken.expect("the model holds without the guard").to_string()
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
