//! Tests of which member takes a soft role.

use std::collections;

use trefoildyke_decide::members;
use trefoildyke_types::id;

fn member(number: u64) -> members::Member {
    members::Member {
        host: id::HostName::new(&format!("host-{number}")),
        incarnation: id::Incarnation::from_u64(number),
        zone: id::ZoneName::new(&format!("zone-{}", number % 3)),
        peer: "127.0.0.1:1".parse().unwrap(),
        state: members::State::Alive,
    }
}

fn view(count: u64) -> members::View {
    members::View { members: (1..=count).map(member).collect(), ..members::View::default() }
}

#[test]
fn only_the_keys_of_a_lost_member_move() {
    let before = view(24);
    let mut after = before.clone();
    after.members[5].state = members::State::Suspect;
    let lost = after.members[5].incarnation;
    let mut moved = 0;
    for key in 0..10_000 {
        let old = before.owner(key).unwrap().incarnation;
        let new = after.owner(key).unwrap().incarnation;
        assert!(old == new || old == lost);
        assert_ne!(new, lost);
        moved += usize::from(old != new);
    }
    assert!((200..800).contains(&moved), "a 24th of 10,000 keys, not {moved}");
}

#[test]
fn owners_start_with_the_owner_and_cover_the_zones() {
    let view = view(24);
    for key in 0..100 {
        let owners = view.owners(key, 3);
        assert_eq!(owners[0], view.owner(key).unwrap());
        let zones: collections::HashSet<_> = owners.iter().map(|member| &member.zone).collect();
        assert_eq!(zones.len(), 3);
    }
    assert_eq!(view.owners(1, 100).len(), 24);
}

#[test]
fn members_that_are_not_alive_take_no_role() {
    let mut view = view(3);
    view.members[0].state = members::State::Suspect;
    view.members[1].state = members::State::Leaving;
    view.members[2].state = members::State::Dead;
    assert_eq!(view.owner(1), None);
    assert!(view.owners(1, 2).is_empty());
}
