//! Membership of the daemons.

use std::{net::SocketAddr, time::Duration};

use trefoildyke_decide::gateway::{AccountSpend, Digest, Mesh, Peer, PlacingAbility, Strength};
use trefoildyke_types::time::Timestamp;

pub(super) fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_600))
}

fn number_of(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("all are of the fourth version"),
    }
}

pub(super) fn peers(count: u8) -> Vec<Peer> {
    (1..=count)
        .map(|number| Peer { address: address(number), strength: Strength::UNKNOWN })
        .collect()
}

pub(super) fn mesh_of(own: SocketAddr, members: &[Peer]) -> Mesh {
    let mut mesh = Mesh::new(own, Duration::from_secs(1));
    mesh.replace(Timestamp::ZERO, members);
    mesh
}

pub(super) fn mesh(members: u8) -> Mesh {
    mesh_of(address(1), &peers(members))
}

fn digest(incarnation: u64, number: u64, used: u64) -> Digest {
    let spend = AccountSpend { account: "cascadia".into(), used, returned: 0, level: 0 };
    Digest { incarnation, number, spend: vec![spend], ..Digest::default() }
}

fn added_usage(mesh: &mut Mesh, ms: u64, digest: &Digest) -> Option<u64> {
    let changes = mesh.note(Timestamp::from_millis(ms), address(2), digest)?;
    Some(changes.spent.iter().map(|spend| spend.used).sum())
}

#[test]
fn each_use_is_counted_once_over_lost_late_and_repeated_digests() {
    let mut mesh = mesh(2);
    assert_eq!(added_usage(&mut mesh, 0, &digest(7, 1, 100)), Some(0));
    assert_eq!(added_usage(&mut mesh, 50, &digest(7, 4, 180)), Some(80));
    assert_eq!(added_usage(&mut mesh, 60, &digest(7, 3, 150)), None);
    assert_eq!(added_usage(&mut mesh, 70, &digest(7, 4, 180)), None);
    assert_eq!(added_usage(&mut mesh, 99, &digest(7, 5, 180)), Some(0));
}

#[test]
fn usage_of_a_restarted_daemon_counts_from_zero() {
    let mut mesh = mesh(2);
    added_usage(&mut mesh, 0, &digest(7, 90, 1_000));
    assert_eq!(added_usage(&mut mesh, 50, &digest(8, 1, 30)), Some(30));
}

#[test]
fn digests_of_unlisted_daemons_are_ignored() {
    let mut mesh = mesh(2);
    assert!(mesh.note(Timestamp::ZERO, address(9), &digest(7, 1, 5)).is_none());
    assert!(!mesh.is_member(address(9)));
    assert!(mesh.take_unlisted_heard());
    assert!(!mesh.take_unlisted_heard());
    let leaving = Digest { leaving: true, ..digest(7, 2, 5) };
    mesh.note(Timestamp::ZERO, address(9), &leaving);
    mesh.note(Timestamp::ZERO, address(2), &digest(7, 1, 5));
    assert!(!mesh.take_unlisted_heard());
}

/// Each query to a daemon that is gone delays the waiting request by a fifth of a second.
#[test]
fn a_daemon_that_leaves_queries_unanswered_is_queried_less_often() {
    let mut mesh = mesh(30);
    let mut asked = 0;
    for ms in (0..8_000).step_by(100) {
        let now = Timestamp::from_millis(ms);
        if mesh.may_answer(now, address(2)) {
            asked += 1;
            mesh.record_timeout(now, address(2));
        }
    }
    assert_eq!(asked, 4);
}

#[test]
fn a_daemon_that_announces_its_start_is_a_new_member_before_it_is_listed() {
    let mut mesh = mesh(3);
    let starting = Digest { incarnation: 3, number: 1, starting: true, ..Digest::default() };
    assert!(mesh.note(Timestamp::ZERO, address(4), &starting).is_some());
    assert!(!mesh.take_unlisted_heard(), "the list need not be read for it");
    for service in (0..20).map(|number| number.to_string()) {
        let placers = mesh.placers(
            Timestamp::from_millis(100),
            &service.as_str().into(),
            PlacingAbility::Able,
        );
        assert_ne!(placers[0], address(4));
    }
    // A list that is some seconds old does not contain the daemon; a later one would.
    assert!(mesh.replace(Timestamp::from_millis(4_000), &peers(3)).is_empty());
    assert!(mesh.is_member(address(4)));
    assert_eq!(mesh.replace(Timestamp::from_millis(10_001), &peers(3)), [address(4)]);
}

/// The daemons start at the same moment, and each gets a list of only those that registered before
/// it.
#[test]
fn daemons_that_start_together_know_each_other_after_one_list_each() {
    let all = peers(40);
    let mut meshes: Vec<_> = (1..=40).map(|own| mesh_of(address(own), &peers(own))).collect();
    for from in &all {
        let others = meshes[usize::from(number_of(from.address)) - 1].others();
        let digest = Digest { incarnation: 1, number: 1, starting: true, ..Digest::default() };
        for to in others {
            let to = usize::from(number_of(to)) - 1;
            meshes[to].note(Timestamp::ZERO, from.address, &digest);
        }
    }
    assert!(meshes.iter().all(|mesh| mesh.count() == 40));
    assert!(meshes.iter().all(|mesh| mesh.hubs() == meshes[0].hubs()));
}

#[test]
fn a_member_that_is_not_listed_any_more_does_not_count() {
    let mut mesh = mesh(4);
    assert_eq!(mesh.replace(Timestamp::ZERO, &peers(2)).len(), 2);
    assert_eq!(mesh.count(), 2);
}

/// Guards against charging usage during a network partition at once to callers within their quotas.
#[test]
fn usage_while_a_member_is_silent_is_not_counted() {
    let mut mesh = mesh(2);
    added_usage(&mut mesh, 0, &digest(7, 1, 100));
    assert_eq!(added_usage(&mut mesh, 8_000, &digest(7, 90, 900_000)), Some(0));
    assert_eq!(added_usage(&mut mesh, 8_050, &digest(7, 91, 900_040)), Some(40));
}

#[test]
fn a_daemon_without_a_member_list_does_not_count_as_the_only_member() {
    let mut mesh = Mesh::new(address(1), Duration::from_secs(1));
    assert!(mesh.part(Timestamp::ZERO) < 0.1);
    mesh.replace(Timestamp::ZERO, &peers(1));
    assert_eq!(mesh.part(Timestamp::ZERO), 1.0);
}

/// Digests name only the accounts that were used recently, so the first digest need not name all.
#[test]
fn usage_before_an_account_is_first_named_is_not_counted() {
    let mut mesh = mesh(2);
    let silent = Digest { incarnation: 7, number: 1, ..Digest::default() };
    assert_eq!(added_usage(&mut mesh, 0, &silent), Some(0));
    assert_eq!(added_usage(&mut mesh, 50, &digest(7, 2, 900_000)), Some(0));
    assert_eq!(added_usage(&mut mesh, 99, &digest(7, 3, 900_040)), Some(40));
    // The next incarnation begins without usage.
    assert_eq!(added_usage(&mut mesh, 150, &Digest { incarnation: 8, ..silent }), Some(0));
    assert_eq!(added_usage(&mut mesh, 199, &digest(8, 2, 30)), Some(30));
}

fn announce_start(mesh: &mut Mesh, ms: u64, from: u8) {
    let digest = Digest { incarnation: ms + 1, number: 1, starting: true, ..Digest::default() };
    mesh.note(Timestamp::from_millis(ms), address(from), &digest);
}

/// Returns four daemons, which know that the daemons in `new` have just started.
fn four_daemons(new: &[u8]) -> Vec<Mesh> {
    let create = |own: u8| {
        let mut mesh = mesh_of(address(own), &peers(4));
        for from in new.iter().filter(|from| **from != own) {
            announce_start(&mut mesh, 0, *from);
        }
        mesh
    };
    (1..=4).map(create).collect()
}

fn placers(mesh: &Mesh, ms: u64, own: PlacingAbility) -> Vec<SocketAddr> {
    mesh.placers(Timestamp::from_millis(ms), &"assistant".into(), own)
}

#[test]
fn all_daemons_find_the_same_placer_and_successor() {
    let found: Vec<_> =
        four_daemons(&[]).iter().map(|mesh| placers(mesh, 100, PlacingAbility::Able)).collect();
    assert_eq!(found[0].len(), 2);
    assert!(found.iter().all(|placers| *placers == found[0]), "{found:?}");
}

#[test]
fn services_are_placed_by_different_daemons() {
    let mesh = &four_daemons(&[])[0];
    let placer = |number: u32| {
        let service = number.to_string().as_str().into();
        mesh.placers(Timestamp::from_millis(100), &service, PlacingAbility::Able)[0]
    };
    let all: std::collections::BTreeSet<_> = (0..100).map(placer).collect();
    assert_eq!(all.len(), 4);
}

#[test]
fn a_daemon_that_left_a_query_unanswered_does_not_place() {
    let mut mesh = four_daemons(&[]).remove(0);
    // This holds whichever daemon is first.
    let before = placers(&mesh, 100, PlacingAbility::Unable);
    mesh.record_timeout(Timestamp::from_millis(100), before[0]);
    let timed_out = placers(&mesh, 100, PlacingAbility::Unable);
    assert_eq!(timed_out[0], before[1]);
    assert_eq!(placers(&mesh, 1_000, PlacingAbility::Unable)[0], before[1]);
    assert_eq!(
        placers(&mesh, 1_150, PlacingAbility::Unable)[0],
        before[0],
        "it may have come back"
    );
    mesh.record_timeout(Timestamp::from_millis(1_150), before[0]);
    assert_eq!(placers(&mesh, 3_000, PlacingAbility::Unable)[0], before[1]);
    // Daemons other than the placers are not queried, so their unanswered queries do not matter.
    for from in 2..=4 {
        mesh.record_timeout(Timestamp::from_millis(3_200), address(from));
    }
    assert_eq!(
        placers(&mesh, 3_300, PlacingAbility::Able),
        [address(1)],
        "nobody answers any more"
    );
    announce_start(&mut mesh, 3_350, 2);
    assert!(placers(&mesh, 3_400, PlacingAbility::Able).contains(&address(2)));
}

/// Guards against requests that stay queued at a daemon which leaves or is gone.
#[test]
fn only_an_unanswered_query_backs_a_member_off() {
    let mut mesh = four_daemons(&[]).remove(0);
    let now = Timestamp::from_millis(100);
    assert!(!mesh.is_backed_off(now, address(2)));
    mesh.record_timeout(now, address(2));
    assert!(mesh.is_backed_off(now, address(2)));
    assert!(!mesh.is_backed_off(Timestamp::from_millis(1_150), address(2)), "the time is over");
    let leaving = Digest { incarnation: 1, number: 9, leaving: true, ..Digest::default() };
    mesh.note(now, address(2), &leaving);
    assert!(!mesh.is_backed_off(now, address(2)), "it leaves");
    assert!(!mesh.is_backed_off(now, address(99)), "it is no member");
}

#[test]
fn a_new_daemon_places_last_and_receives_load_reports() {
    let usual = placers(&four_daemons(&[])[0], 100, PlacingAbility::Able);
    let first = (1..=4).find(|number| address(*number) == usual[0]).unwrap();
    for mesh in four_daemons(&[first]) {
        let own = if mesh.own() == usual[0] { PlacingAbility::New } else { PlacingAbility::Able };
        let placers = placers(&mesh, 100, own);
        assert_ne!(placers[0], usual[0]);
        assert_eq!(placers.last(), Some(&usual[0]), "it will place soon");
    }
    // After a power failure of all daemons, there are only new ones.
    let new = four_daemons(&[1, 2, 3, 4]);
    assert!(new.iter().all(|mesh| placers(mesh, 100, PlacingAbility::New) == usual));
}

/// Daemons on small hosts have enough to do with their own requests.
#[test]
fn strong_hosts_place_before_weak_ones_for_every_daemon() {
    let strength = |number: u8| Strength::of_cores(if number >= 3 { 0.5 } else { 0.12 });
    let list: Vec<_> = (1..=4)
        .map(|number| Peer { address: address(number), strength: strength(number) })
        .collect();
    let create = |own: u8| {
        let mut mesh = Mesh::new(address(own), Duration::from_secs(1)).with_strength(strength(own));
        mesh.replace(Timestamp::ZERO, &list);
        mesh
    };
    let strong = [address(3), address(4)];
    for service in 0..20 {
        let service = service.to_string().as_str().into();
        let found = (1..=4).map(|own| {
            create(own).placers(Timestamp::from_millis(100), &service, PlacingAbility::Able)
        });
        for placers in found {
            assert!(placers.iter().all(|placer| strong.contains(placer)), "{placers:?}");
        }
    }
}

#[test]
fn hosts_of_similar_size_are_equally_strong() {
    assert_eq!(Strength::of_cores(0.35), Strength::of_cores(0.5));
    assert!(Strength::of_cores(0.25) > Strength::of_cores(0.12));
    assert!(Strength::of_cores(0.01) > Strength::UNKNOWN);
    assert_eq!(Strength::of_cores(f64::NAN), Strength::UNKNOWN);
}

#[test]
fn a_daemon_that_leaves_or_knows_no_endpoints_places_nothing() {
    let mut mesh = four_daemons(&[]).remove(0);
    for from in 2..=4 {
        let leaving = Digest { incarnation: 1, number: 9, leaving: true, ..Digest::default() };
        let changes = mesh.note(Timestamp::from_millis(50), address(from), &leaving).unwrap();
        assert!(changes.discard_load, "what it had is forgotten");
    }
    assert_eq!(placers(&mesh, 100, PlacingAbility::Able), [address(1)]);
    assert_eq!(placers(&mesh, 100, PlacingAbility::Unable), [address(1)]);
}

/// The requests of a daemon that was killed have ended at their endpoints, whether or not the
/// daemon reports that.
#[test]
fn the_load_of_a_daemon_is_discarded_when_it_restarts() {
    let mut mesh = four_daemons(&[]).remove(0);
    let begin = Digest { incarnation: 1, number: 1, starting: true, ..Digest::default() };
    assert!(mesh.note(Timestamp::ZERO, address(2), &begin).unwrap().discard_load);
    let later = Digest { number: 2, starting: false, ..begin.clone() };
    assert!(!mesh.note(Timestamp::from_millis(50), address(2), &later).unwrap().discard_load);
    let again = Digest { incarnation: 2, ..begin };
    assert!(mesh.note(Timestamp::from_millis(99), address(2), &again).unwrap().discard_load);
}

/// Digests name only the accounts that were used recently, so a new daemon hears of an account
/// later than of the daemon that used it.
#[test]
fn the_level_of_an_account_is_reported_when_it_is_first_named() {
    let mut mesh = mesh(2);
    let silent = Digest { incarnation: 7, number: 1, ..Digest::default() };
    let levels = |mesh: &mut Mesh, digest: &Digest| {
        mesh.note(Timestamp::ZERO, address(2), digest).unwrap().levels.len()
    };
    assert_eq!(levels(&mut mesh, &silent), 0);
    assert_eq!(levels(&mut mesh, &digest(7, 2, 100)), 1);
    assert_eq!(levels(&mut mesh, &digest(7, 3, 200)), 0);
}
