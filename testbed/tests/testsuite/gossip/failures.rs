//! Members that die, freeze or are cut off.

use testbed::gossip;
use trefoildyke_decide::members::{self, State};

use crate::gossip::{group, secs};

/// Returns how node `of` stands in the view of node `by`.
fn state(group: &gossip::Group, by: usize, of: usize) -> Option<State> {
    let view = group.nodes[by].membership.view();
    view.find(group.nodes[of].incarnation).map(|member| member.state)
}

/// Steps for a while and returns whether any but `besides` ever saw node `of` in a state that
/// `wrong` names.
fn ever(
    group: &mut gossip::Group,
    steps: usize,
    besides: usize,
    of: usize,
    wrong: fn(State) -> bool,
) -> bool {
    (0..steps).any(|_| {
        group.step();
        let others = (0..group.nodes.len()).filter(|number| ![of, besides].contains(number));
        others.into_iter().any(|by| state(group, by, of).is_some_and(wrong))
    })
}

#[test]
fn a_frozen_member_is_dead_to_all_and_rejoins_as_the_same_life() {
    let mut group = group(24, 1);
    group.nodes[7].running = false;
    let dead = |group: &gossip::Group| {
        (0..24).filter(|by| *by != 7).all(|by| state(group, by, 7) == Some(State::Dead))
    };
    assert!(group.run_until(secs(30), dead).is_some());
    group.nodes[7].running = true;
    assert!(group.run_until(secs(30), gossip::Group::agrees).is_some());
}

#[test]
fn two_that_die_at_once_and_a_lost_zone_are_seen_by_all() {
    let mut group = group(26, 2);
    group.nodes[0].running = false;
    group.nodes[1].running = false;
    assert!(group.run_until(secs(30), gossip::Group::agrees).is_some());
    for number in (0..26).filter(|number| number % 13 == 4) {
        group.nodes[number].running = false;
    }
    assert!(group.run_until(secs(30), gossip::Group::agrees).is_some());
}

#[test]
fn halves_that_were_cut_find_each_other_again() {
    let mut group = group(24, 3);
    group.link.cut_at = Some(12);
    group.run(secs(90));
    assert_eq!(state(&group, 0, 23), Some(State::Dead));
    group.link.cut_at = None;
    assert!(group.run_until(secs(60), gossip::Group::agrees).is_some());
}

#[test]
fn a_replaced_member_does_not_come_back_as_its_old_life() {
    let mut group = group(24, 4);
    let old = group.nodes[9].incarnation;
    group.replace(9);
    assert!(group.run_until(secs(30), gossip::Group::agrees).is_some());
    group.run(secs(60));
    assert!(group.agrees());
    for node in &group.nodes {
        let view = node.membership.view();
        let old = view.find(old).map(|member| member.state);
        assert!(matches!(old, None | Some(State::Dead)));
    }
}

/// Cuts the way from node 3 to node 5 in both directions, others reaching both.
fn cut_one_pair(broken: gossip::Broken) -> gossip::Group {
    let mut group = group(12, 5);
    group.broken = broken;
    group.link.cut_pairs = vec![(3, 5), (5, 3)];
    group
}

#[test]
fn a_cut_between_two_members_moves_no_role_at_the_others() {
    let mut group = cut_one_pair(gossip::Broken::default());
    assert!(!ever(&mut group, 600, 3, 5, |state| state != State::Alive));
    let avoided = |group: &gossip::Group| state(group, 3, 5) == Some(State::Suspect);
    assert!(group.run_until(secs(60), avoided).is_some(), "the cut member itself must avoid it");
}

#[test]
fn without_helpers_that_try_a_cut_between_two_moves_roles_at_the_others() {
    let broken = gossip::Broken { helpers: true, ..gossip::Broken::default() };
    let mut group = cut_one_pair(broken);
    assert!(ever(&mut group, 600, 3, 5, |state| state != State::Alive));
}

/// Loses one message in five for a minute and returns whether a running member was called dead.
fn calls_the_living_dead(params: members::Params) -> bool {
    let mut group = gossip::Group::new(24, params, 6);
    group.link.lose_one_in = 5;
    (0..600).any(|_| {
        group.step();
        group.nodes.iter().any(|node| {
            node.membership.view().members.iter().any(|member| member.state == State::Dead)
        })
    })
}

#[test]
fn lost_messages_call_nobody_dead_who_has_time_to_refute() {
    assert!(!calls_the_living_dead(members::Params::default()));
}

#[test]
fn without_time_to_refute_lost_messages_call_the_living_dead() {
    let hasty = members::Params {
        suspicion: std::time::Duration::ZERO,
        suspicion_step: std::time::Duration::ZERO,
        ..members::Params::default()
    };
    assert!(calls_the_living_dead(hasty));
}
