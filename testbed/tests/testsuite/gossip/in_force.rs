//! No version is taken to be in force that some member does not have.

use std::time;

use rand::{Rng as _, SeedableRng as _, rngs};
use testbed::gossip;
use trefoildyke_decide::members;

const COUNT: usize = 12;

/// Changes, replaces, freezes and cuts at random, and returns whether a version was ever falsely
/// taken to be in force, and how often one rightly was.
fn play(seed: u64, broken: gossip::Broken) -> (bool, u32) {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    let mut group = gossip::Group::new(COUNT, members::Params::default(), seed);
    group.broken = broken;
    let mut version = 0;
    let mut known = 0;
    for _ in 0..900 {
        if random.random_range(0..25) == 0 {
            version += 1;
            group.configure(random.random_range(0..COUNT), version);
        }
        disturb(&mut group, &mut random);
        group.step();
        if group.falsely_in_force().is_some() {
            return (true, known);
        }
        let in_force = |node: &gossip::Node| node.membership.in_force().config > 0;
        known += u32::from(group.nodes.iter().any(in_force));
    }
    (false, known)
}

fn disturb(group: &mut gossip::Group, random: &mut rngs::StdRng) {
    let number = random.random_range(0..COUNT);
    match random.random_range(0..400) {
        0 => group.replace(number),
        1 | 2 => group.nodes[number].running = false,
        3 => group.link.cut_at = Some(number),
        4..8 => group.link.cut_at = None,
        8 => group.link.lose_one_in = 10,
        9 => group.link.lose_one_in = 0,
        10..20 => group.nodes[number].running = true,
        _ => {}
    }
}

#[test]
fn no_version_is_falsely_in_force_whatever_happens() {
    let mut known = 0;
    for seed in 0..24 {
        let (false_claim, claims) = play(seed, gossip::Broken::default());
        assert!(!false_claim, "seed {seed}");
        known += claims;
    }
    assert!(known > 1_000, "versions were in force in {known} steps only: nothing was shown");
}

#[test]
fn without_the_check_of_the_set_a_version_is_falsely_in_force() {
    let broken = gossip::Broken { set_check: true, ..gossip::Broken::default() };
    assert!((0..24).any(|seed| play(seed, broken).0));
}

#[test]
fn without_the_check_of_the_count_a_version_is_falsely_in_force() {
    let broken = gossip::Broken { count_check: true, ..gossip::Broken::default() };
    assert!((0..24).any(|seed| play(seed, broken).0));
}

#[test]
fn a_daemon_that_has_just_started_does_not_speak_for_all() {
    let mut group = gossip::Group::strangers(2, members::Params::default(), 1);
    group.nodes[0].running = false;
    group.configure(1, 3);
    group.run(time::Duration::from_secs(15));
    assert_eq!(group.nodes[1].membership.in_force().config, 0);
    group.run(time::Duration::from_secs(20));
    assert_eq!(group.nodes[1].membership.in_force().config, 3, "it takes itself to be alone");
}
