//! The hubs, which exchange messages regularly, read the store and keep the buckets of quotas.

use std::{net::SocketAddr, time::Duration};

use trefoildyke_decide::gateway::{Digest, Mesh, Peer, QuotaPart, Strength};
use trefoildyke_types::time::Timestamp;

use super::mesh::{address, mesh, mesh_of, peers};

/// Returns a hub among 30 daemons, and the other hubs.
fn hub() -> (Mesh, Vec<SocketAddr>) {
    let members = peers(30);
    let first = mesh(30).hubs()[0];
    let mesh = mesh_of(first, &members);
    let others = mesh.hubs()[1..].to_vec();
    (mesh, others)
}

fn report_clients(mesh: &mut Mesh, ms: u64, from: SocketAddr, clients: u16) {
    let hub_mark = mesh.hub_hash();
    let digest = Digest { incarnation: 7, number: ms, hub_mark, clients, ..Digest::default() };
    mesh.note(Timestamp::from_millis(ms), from, &digest);
}

#[test]
fn the_heard_fraction_falls_with_silence_and_rises_with_reports_of_hubs() {
    let (mut mesh, hubs) = hub();
    let now = Timestamp::from_millis(2_010);
    let part = |mesh: &Mesh, ms| (mesh.part(Timestamp::from_millis(ms)) * 30.0).round() as usize;
    assert_eq!(part(&mesh, 10), 1);
    let names = (0..40).map(|number| number.to_string());
    for account in names.map(|name| name.as_str().into()) {
        let is_first = mesh.keepers(&account)[0] == mesh.own();
        let part = |ms| mesh.quota_part(Timestamp::from_millis(ms), &account).rate;
        assert_eq!(part(10) == 1.0, is_first, "nobody had time to say anything");
        assert!(part(700) < 0.1);
    }
    let is_other = |peer: &SocketAddr| *peer != mesh.own() && !hubs.contains(peer);
    let clients: Vec<_> = peers(30).into_iter().map(|peer| peer.address).filter(is_other).collect();
    for client in &clients[..9] {
        mesh.note_client(now, *client, mesh.hub_hash());
    }
    // A hub that queries this daemon about the store is counted as a hub.
    mesh.note_client(now, hubs[0], mesh.hub_hash());
    // Daemons that use other hubs ask other keepers.
    mesh.note_client(now, clients[9], 0);
    assert_eq!(mesh.clients(now), 9);
    for hub in &hubs {
        report_clients(&mut mesh, 2_010, *hub, 9);
    }
    assert_eq!(part(&mesh, 2_900), 30);
    // One of the hubs is cut off with all daemons that query it.
    report_clients(&mut mesh, 3_000, hubs[0], 9);
    for client in &clients[..9] {
        mesh.note_client(Timestamp::from_millis(3_000), *client, mesh.hub_hash());
    }
    assert_eq!(part(&mesh, 3_100), 20);
    assert_eq!(part(&mesh, 4_500), 1);
}

#[test]
fn a_daemon_that_reaches_no_hub_uses_an_equal_part() {
    assert_eq!(mesh(4).equal_part(), QuotaPart::equal(0.25));
    let unlisted = Mesh::new(address(1), Duration::from_secs(1));
    assert!(unlisted.equal_part().rate < 0.1);
}

/// The accounts are spread over the hubs, and all daemons find the same hubs.
#[test]
fn all_daemons_find_the_same_two_keepers_of_an_account_among_the_hubs() {
    let members = peers(100);
    let mut all = std::collections::BTreeSet::new();
    for number in 0..40 {
        let account = number.to_string().as_str().into();
        let found: Vec<_> =
            members.iter().map(|own| mesh_of(own.address, &members).keepers(&account)).collect();
        assert_eq!(found[0].len(), 2);
        assert!(found.iter().all(|keepers| *keepers == found[0]));
        assert!(found[0].iter().all(|keeper| mesh(100).hubs().contains(keeper)));
        all.extend(found[0].clone());
    }
    assert_eq!(all.len(), 3, "each hub keeps some");
}

#[test]
fn hubs_are_on_strong_hosts_and_report_only_to_each_other() {
    let mut members = peers(100);
    let strong: Vec<_> = [7, 20, 33, 41].into_iter().map(address).collect();
    for member in members.iter_mut().filter(|member| strong.contains(&member.address)) {
        member.strength = Strength::of_cores(0.5);
    }
    let now = Timestamp::ZERO;
    let reported = |own: &Peer| {
        let mut mesh = Mesh::new(own.address, Duration::from_secs(1)).with_strength(own.strength);
        mesh.replace(Timestamp::ZERO, &members);
        assert!(mesh.hubs().iter().all(|hub| strong.contains(hub)), "{:?}", mesh.hubs());
        mesh.hub_peers(now).len()
    };
    let reported: Vec<_> = members.iter().map(reported).collect();
    assert_eq!(reported.iter().filter(|reported| **reported == 2).count(), 3, "{reported:?}");
    assert_eq!(reported.iter().filter(|reported| **reported == 0).count(), 97, "{reported:?}");
}

/// The load of a daemon must not grow with the number of members: a reader gets queries from about
/// the same number of daemons at any size.
#[test]
fn each_reader_is_queried_first_by_an_equal_part_of_the_daemons() {
    let members: Vec<_> = (0..295_u16)
        .map(|number| {
            let [high, low] = number.to_be_bytes();
            let address = SocketAddr::from(([10, 1, high, low], 7_600));
            Peer { address, strength: Strength::UNKNOWN }
        })
        .collect();
    let mut asked = std::collections::BTreeMap::new();
    for own in &members {
        let first = mesh_of(own.address, &members).readers_to_ask(Timestamp::ZERO)[0];
        *asked.entry(first).or_insert(0) += 1;
    }
    assert_eq!(asked.len(), 4);
    assert!(asked.values().all(|count| (50..=100).contains(count)), "{asked:?}");
}

#[test]
fn a_reader_that_does_not_reply_is_queried_last_until_it_replies() {
    let mut mesh = mesh(30);
    let at = |ms| Timestamp::from_millis(ms);
    let before = mesh.readers_to_ask(at(0));
    mesh.record_timeout(at(0), before[0]);
    assert_eq!(mesh.readers_to_ask(at(10)).last(), before.first());
    mesh.record_reply(before[0]);
    assert_eq!(mesh.readers_to_ask(at(20)), before);
}

/// Records for each of `daemons` whether the store answers it.
fn note_answers(mesh: &mut Mesh, number: u64, daemons: &[SocketAddr], is_answered: bool) {
    let own = mesh.own();
    for address in daemons.iter().filter(|address| **address != own) {
        let digest =
            Digest { incarnation: 7, number, unanswered: !is_answered, ..Digest::default() };
        mesh.note(Timestamp::from_millis(number), *address, &digest);
    }
}

/// The store rejects a third of the hosts, including all readers.
#[test]
fn other_daemons_read_the_store_in_place_of_those_that_it_rejects() {
    let mut mesh = mesh(30);
    let at = |ms| Timestamp::from_millis(ms);
    let before = mesh.readers(at(0));
    note_answers(&mut mesh, 1, &before, false);
    let after = mesh.readers(at(1));
    assert_eq!(after.len(), 2);
    assert!(after.iter().all(|reader| !before.contains(reader)), "{before:?} {after:?}");
    note_answers(&mut mesh, 2, &before, true);
    assert_eq!(mesh.readers(at(2)), before);
    // Reports in replies to queries have the same effect.
    for reader in &before {
        mesh.note_member_answer(at(3), *reader, false);
    }
    assert!(mesh.readers(at(4)).iter().all(|reader| !before.contains(reader)));
    // A daemon that is no longer queried cannot report that the store answers again.
    assert_eq!(mesh.readers(at(2_100)), before);
}

#[test]
fn a_store_that_answers_nobody_moves_no_role() {
    let mut mesh = mesh(30);
    let at = |ms| Timestamp::from_millis(ms);
    let before = mesh.readers(at(0));
    let all: Vec<_> = peers(30).into_iter().map(|peer| peer.address).collect();
    note_answers(&mut mesh, 1, &all, false);
    assert!(mesh.note_answer(false));
    assert_eq!(mesh.readers(at(1)), before);
    assert!(mesh.note_answer(true));
    assert_eq!(mesh.readers(at(1))[0], mesh.own());
}

#[test]
fn all_daemons_agree_on_the_few_readers() {
    let members = peers(100);
    let mut readers = Vec::new();
    for own in &members {
        let mesh = mesh_of(own.address, &members);
        if mesh.is_reader(Timestamp::ZERO) {
            readers.push(own.address);
        }
        assert_eq!(mesh.readers(Timestamp::ZERO).len(), 2);
    }
    assert_eq!(readers.len(), 2);
    let alone = Mesh::new(address(1), Duration::from_secs(1));
    assert!(alone.is_reader(Timestamp::ZERO), "alone");
}
