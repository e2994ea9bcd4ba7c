//! Membership among many members: spread, failures, cuts.

mod failures;
mod in_force;

use std::time;

use testbed::gossip;
use trefoildyke_decide::members;

const fn secs(seconds: u64) -> time::Duration {
    time::Duration::from_secs(seconds)
}

fn group(count: usize, seed: u64) -> gossip::Group {
    let mut group = gossip::Group::new(count, members::Params::default(), seed);
    group.run(secs(3));
    assert!(group.agrees());
    group
}

fn all_have(group: &gossip::Group, version: u64) -> bool {
    group.nodes.iter().filter(|node| node.running).all(|node| node.config >= version)
}

#[test]
fn a_change_reaches_every_member_within_9_seconds() {
    for (count, lose_one_in) in [(8, 0), (64, 0), (512, 0), (64, 10), (512, 10)] {
        let mut group = group(count, 1);
        group.link.lose_one_in = lose_one_in;
        group.configure(count / 2, 1);
        let took = group.run_until(secs(9), |group| all_have(group, 1));
        println!("{count} members, 1 in {lose_one_in} lost: {took:?}");
        assert!(took.is_some(), "{count} members");
    }
}

#[test]
fn strangers_find_one_another_by_a_seed() {
    let mut group = gossip::Group::strangers(64, members::Params::default(), 2);
    let took = group.run_until(secs(60), gossip::Group::agrees);
    println!("64 strangers: {took:?}");
    assert!(took.is_some());
}

#[test]
fn a_dead_member_is_seen_as_dead_by_all() {
    let mut group = group(64, 3);
    group.nodes[17].running = false;
    let suspect = group.run_until(secs(30), gossip::Group::agrees);
    println!("suspect after {suspect:?}");
    assert!(suspect.is_some());
}

#[test]
fn a_version_is_in_force_only_once_the_last_member_has_it() {
    let mut group = group(8, 4);
    group.configure(3, 5);
    let known = |group: &gossip::Group| {
        group.nodes.iter().any(|node| node.membership.in_force().config >= 5)
    };
    let took = group.run_until(secs(9), known);
    println!("8 members: {took:?}");
    assert!(took.is_some());
    assert!(all_have(&group, 5));
    assert!(group.nodes.iter().all(|node| node.membership.in_force().settled == 0));
}

#[test]
fn stops_have_ended_only_once_they_have_at_the_last_member() {
    let mut group = group(8, 5);
    group.configure(0, 5);
    assert!(group.run_until(secs(9), |group| all_have(group, 5)).is_some());
    for number in 0..7 {
        group.settle(number, 5);
    }
    group.run(secs(9));
    let settled = |group: &gossip::Group| {
        group.nodes.iter().all(|node| node.membership.in_force().settled >= 5)
    };
    assert!(!settled(&group));
    group.settle(7, 5);
    let took = group.run_until(secs(9), settled);
    println!("8 members: {took:?}");
    assert!(took.is_some());
}
