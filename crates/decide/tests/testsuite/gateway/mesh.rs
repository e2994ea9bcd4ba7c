//! Which daemons are heard.

use std::{net::SocketAddr, time::Duration};

use trefoildyke_decide::gateway::{AccountSpend, Digest, Mesh, Peer, Placing, Strength};
use trefoildyke_types::time::Timestamp;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_600))
}

/// Daemons of which every other one is in availability zone `b`.
fn peers(count: u8) -> Vec<Peer> {
    let zone = |number: u8| if number.is_multiple_of(2) { "b" } else { "a" };
    (1..=count).map(|number| Peer { address: address(number), zone: zone(number).into() }).collect()
}

fn mesh(members: u8) -> Mesh {
    let mut mesh = Mesh::new(address(1), "a".into(), Duration::from_secs(1));
    mesh.replace(&peers(members));
    mesh
}

fn digest(incarnation: u64, number: u64, used: u64) -> Digest {
    let spend = AccountSpend { account: "cascadia".into(), used, returned: 0, level: 0 };
    Digest { incarnation, number, spend: vec![spend], ..Digest::default() }
}

fn spent(mesh: &mut Mesh, ms: u64, digest: &Digest) -> Option<u64> {
    let news = mesh.note(Timestamp::from_millis(ms), address(2), digest)?;
    Some(news.spent.iter().map(|spend| spend.used).sum())
}

#[test]
fn each_use_is_counted_once_over_lost_late_and_repeated_digests() {
    let mut mesh = mesh(2);
    assert_eq!(spent(&mut mesh, 0, &digest(7, 1, 100)), Some(0));
    assert_eq!(spent(&mut mesh, 50, &digest(7, 4, 180)), Some(80));
    assert_eq!(spent(&mut mesh, 60, &digest(7, 3, 150)), None);
    assert_eq!(spent(&mut mesh, 70, &digest(7, 4, 180)), None);
    assert_eq!(spent(&mut mesh, 99, &digest(7, 5, 180)), Some(0));
}

#[test]
fn a_restarted_daemon_counts_from_nought() {
    let mut mesh = mesh(2);
    spent(&mut mesh, 0, &digest(7, 90, 1_000));
    assert_eq!(spent(&mut mesh, 50, &digest(8, 1, 30)), Some(30));
}

#[test]
fn strangers_are_not_heard() {
    let mut mesh = mesh(2);
    assert!(mesh.note(Timestamp::ZERO, address(9), &digest(7, 1, 5)).is_none());
    assert!(!mesh.is_member(address(9)));
    assert!(mesh.take_stranger());
    assert!(!mesh.take_stranger());
    let leaving = Digest { leaving: true, ..digest(7, 2, 5) };
    mesh.note(Timestamp::ZERO, address(9), &leaving);
    mesh.note(Timestamp::ZERO, address(2), &digest(7, 1, 5));
    assert!(!mesh.take_stranger());
}

#[test]
fn the_part_that_is_heard_falls_with_silence_and_rises_with_digests() {
    let mut mesh = mesh(4);
    assert_eq!(mesh.part(Timestamp::ZERO), 0.25);
    for peer in 2..=4 {
        mesh.note(Timestamp::ZERO, address(peer), &digest(7, 1, 0));
    }
    assert_eq!(mesh.part(Timestamp::from_millis(900)), 1.0);
    assert!(mesh.expire(Timestamp::from_millis(900)).is_empty());
    assert_eq!(mesh.part(Timestamp::from_millis(1_100)), 0.25);
    assert_eq!(mesh.expire(Timestamp::from_millis(1_100)).len(), 3);
    assert!(mesh.expire(Timestamp::from_millis(1_200)).is_empty());
}

#[test]
fn a_member_that_is_not_listed_any_more_does_not_count() {
    let mut mesh = mesh(4);
    assert_eq!(mesh.replace(&peers(2)).len(), 2);
    assert_eq!(mesh.count(), 2);
}

/// Notes of each of `daemons` whether the store answers it.
fn note_answers(mesh: &mut Mesh, number: u64, daemons: &[SocketAddr], is_answered: bool) {
    let own = mesh.own();
    for address in daemons.iter().filter(|address| **address != own) {
        let digest =
            Digest { incarnation: 7, number, unanswered: !is_answered, ..Digest::default() };
        mesh.note(Timestamp::from_millis(number), *address, &digest);
    }
}

/// The store turns away a third of the hosts, all that read it among them.
#[test]
fn others_read_the_store_in_place_of_those_that_it_turns_away() {
    let mut mesh = mesh(30);
    let before = mesh.readers();
    note_answers(&mut mesh, 1, &before, false);
    let after = mesh.readers();
    assert_eq!(after.len(), 3);
    assert!(after.iter().all(|reader| !before.contains(reader)), "{before:?} {after:?}");
    note_answers(&mut mesh, 2, &before, true);
    assert_eq!(mesh.readers(), before);
}

#[test]
fn a_store_that_answers_nobody_moves_no_role() {
    let mut mesh = mesh(30);
    let before = mesh.readers();
    let all: Vec<_> = peers(30).into_iter().map(|peer| peer.address).collect();
    note_answers(&mut mesh, 1, &all, false);
    assert!(mesh.note_answer(false));
    assert_eq!(mesh.readers(), before);
    assert!(mesh.note_answer(true));
    assert_eq!(mesh.readers()[0], mesh.own());
}

#[test]
fn few_daemons_read_for_all_and_all_agree_on_them() {
    let members = peers(100);
    let mut readers = Vec::new();
    for own in &members {
        let mut mesh = Mesh::new(own.address, "a".into(), Duration::from_secs(1));
        mesh.replace(&members);
        if mesh.is_reader() {
            readers.push(own.address);
        }
        assert_eq!(mesh.readers().len(), 3);
    }
    assert_eq!(readers.len(), 3);
    assert!(Mesh::new(address(1), "a".into(), Duration::from_secs(1)).is_reader(), "alone");
}

#[test]
fn a_large_system_tells_the_other_zones_less_often() {
    let small = mesh(16);
    assert_eq!((small.near().len(), small.far().len()), (15, 0));
    let large = mesh(100);
    assert_eq!((large.near().len(), large.far().len()), (49, 50));
}

/// After a cut, the uses of its time must not be charged at once to callers within their quotas.
#[test]
fn what_was_used_in_silence_was_left_to_the_silent() {
    let mut mesh = mesh(2);
    spent(&mut mesh, 0, &digest(7, 1, 100));
    assert_eq!(spent(&mut mesh, 8_000, &digest(7, 90, 900_000)), Some(0));
    assert_eq!(spent(&mut mesh, 8_050, &digest(7, 91, 900_040)), Some(40));
}

#[test]
fn a_daemon_that_knows_no_members_does_not_take_itself_for_the_only_one() {
    let mut mesh = Mesh::new(address(1), "a".into(), Duration::from_secs(1));
    assert!(mesh.part(Timestamp::ZERO) < 0.1);
    mesh.replace(&peers(1));
    assert_eq!(mesh.part(Timestamp::ZERO), 1.0);
}

/// Digests name the accounts that were used of late, so the first one need not name all.
#[test]
fn what_was_used_before_an_account_was_first_named_is_not_charged() {
    let mut mesh = mesh(2);
    let silent = Digest { incarnation: 7, number: 1, ..Digest::default() };
    assert_eq!(spent(&mut mesh, 0, &silent), Some(0));
    assert_eq!(spent(&mut mesh, 50, &digest(7, 2, 900_000)), Some(0));
    assert_eq!(spent(&mut mesh, 99, &digest(7, 3, 900_040)), Some(40));
    // Its next life begins with nothing used.
    assert_eq!(spent(&mut mesh, 150, &Digest { incarnation: 8, ..silent }), Some(0));
    assert_eq!(spent(&mut mesh, 199, &digest(8, 2, 30)), Some(30));
}

fn hear(mesh: &mut Mesh, ms: u64, from: u8, placing: Placing) {
    let digest = Digest { incarnation: 1, number: ms + 1, placing, ..Digest::default() };
    mesh.note(Timestamp::from_millis(ms), address(from), &digest);
}

/// Four daemons that have heard each other at `ms`, of which `new` have just started.
fn met(ms: u64, new: &[u8]) -> Vec<Mesh> {
    let placing = |number| if new.contains(&number) { Placing::New } else { Placing::Able };
    let meet = |own: u8| {
        let mut mesh = Mesh::new(address(own), "a".into(), Duration::from_secs(1));
        mesh.replace(&peers(4));
        for from in (1..=4).filter(|from| *from != own) {
            hear(&mut mesh, ms, from, placing(from));
        }
        mesh
    };
    (1..=4).map(meet).collect()
}

fn placers(mesh: &Mesh, ms: u64, own: Placing) -> Vec<SocketAddr> {
    mesh.placers(Timestamp::from_millis(ms), &"assistant".into(), own)
}

#[test]
fn all_daemons_find_the_same_one_that_places_and_the_same_successor() {
    let found: Vec<_> = met(0, &[]).iter().map(|mesh| placers(mesh, 100, Placing::Able)).collect();
    assert_eq!(found[0].len(), 2);
    assert!(found.iter().all(|placers| *placers == found[0]), "{found:?}");
}

#[test]
fn services_are_placed_by_different_daemons() {
    let mesh = &met(0, &[])[0];
    let placer = |number: u32| {
        let service = number.to_string().as_str().into();
        mesh.placers(Timestamp::from_millis(100), &service, Placing::Able)[0]
    };
    let all: std::collections::BTreeSet<_> = (0..100).map(placer).collect();
    assert_eq!(all.len(), 4);
}

#[test]
fn a_daemon_that_is_silent_or_left_a_question_unanswered_does_not_place() {
    let mut mesh = met(0, &[]).remove(0);
    // Whichever daemon is first, one of the others follows.
    let before = placers(&mesh, 100, Placing::Unable);
    mesh.doubt(Timestamp::from_millis(100), before[0]);
    let doubted = placers(&mesh, 100, Placing::Unable);
    assert_eq!(doubted[0], before[1]);
    assert_eq!(placers(&mesh, 1_000, Placing::Unable)[0], before[1]);
    hear(&mut mesh, 1_050, 2, Placing::Able);
    hear(&mut mesh, 1_050, 3, Placing::Able);
    hear(&mut mesh, 1_050, 4, Placing::Able);
    assert_eq!(placers(&mesh, 1_150, Placing::Unable)[0], before[0], "it may have come back");
    assert_eq!(placers(&mesh, 3_000, Placing::Able), [address(1)], "nobody is heard any more");
}

#[test]
fn a_new_daemon_places_last_and_is_told_what_the_others_have() {
    let usual = placers(&met(0, &[])[0], 100, Placing::Able);
    let first = (1..=4).find(|number| address(*number) == usual[0]).unwrap();
    for mesh in met(0, &[first]) {
        let own = if mesh.own() == usual[0] { Placing::New } else { Placing::Able };
        let placers = placers(&mesh, 100, own);
        assert_ne!(placers[0], usual[0]);
        assert_eq!(placers.last(), Some(&usual[0]), "it will place soon");
    }
    // After all have lost power there is nobody else.
    let new = met(0, &[1, 2, 3, 4]);
    assert!(new.iter().all(|mesh| placers(mesh, 100, Placing::New) == usual));
}

/// Daemons on small hosts have enough to do with their own requests.
#[test]
fn strong_hosts_place_before_weak_ones_wherever_a_service_is_looked_for() {
    let strength = |number: u8| Strength::of_cores(if number >= 3 { 0.5 } else { 0.12 });
    let meet = |own: u8| {
        let mut mesh = Mesh::new(address(own), "a".into(), Duration::from_secs(1));
        mesh = mesh.with_strength(strength(own));
        mesh.replace(&peers(4));
        for from in (1..=4).filter(|from| *from != own) {
            let digest = Digest {
                number: 1,
                placing: Placing::Able,
                strength: strength(from),
                ..Digest::default()
            };
            mesh.note(Timestamp::ZERO, address(from), &digest);
        }
        mesh
    };
    let strong = [address(3), address(4)];
    for service in 0..20 {
        let service = service.to_string().as_str().into();
        let found = (1..=4)
            .map(|own| meet(own).placers(Timestamp::from_millis(100), &service, Placing::Able));
        for placers in found {
            assert!(placers.iter().all(|placer| strong.contains(placer)), "{placers:?}");
        }
    }
}

#[test]
fn hosts_of_about_the_same_size_are_equally_strong() {
    assert_eq!(Strength::of_cores(0.35), Strength::of_cores(0.5));
    assert!(Strength::of_cores(0.25) > Strength::of_cores(0.12));
    assert!(Strength::of_cores(0.01) > Strength::UNKNOWN);
    assert_eq!(Strength::of_cores(f64::NAN), Strength::UNKNOWN);
}

#[test]
fn a_daemon_that_leaves_or_knows_no_endpoints_places_nothing() {
    let mut mesh = met(0, &[]).remove(0);
    for from in 2..=4 {
        hear(&mut mesh, 50, from, Placing::Unable);
    }
    assert_eq!(placers(&mesh, 100, Placing::Able), [address(1)]);
    assert_eq!(placers(&mesh, 100, Placing::Unable), [address(1)]);
}

/// Digests tell only of what was used of late, so a new daemon hears of an account later than of its
/// user.
#[test]
fn the_level_of_an_account_is_told_when_it_is_first_named() {
    let mut mesh = mesh(2);
    let silent = Digest { incarnation: 7, number: 1, ..Digest::default() };
    let levels = |mesh: &mut Mesh, digest: &Digest| {
        mesh.note(Timestamp::ZERO, address(2), digest).unwrap().levels.len()
    };
    assert_eq!(levels(&mut mesh, &silent), 0);
    assert_eq!(levels(&mut mesh, &digest(7, 2, 100)), 1);
    assert_eq!(levels(&mut mesh, &digest(7, 3, 200)), 0);
}
