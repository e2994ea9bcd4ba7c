//! The list of endpoints.

use std::time::Duration;

use trefoildyke_decide::gateway::{Roster, RosterChange, RosterEntry};
use trefoildyke_types::time::Timestamp;

use super::support::entry;

const GRACE: Duration = Duration::from_millis(2_200);

/// The age from which a list is read again.
const MAX_AGE: Duration = Duration::from_millis(1_600);

fn gone(changes: &[RosterChange]) -> usize {
    changes.iter().filter(|change| matches!(change, RosterChange::Gone(_))).count()
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[test]
fn an_entry_that_disappears_while_the_source_is_available_is_gone_at_once() {
    let mut roster = Roster::new(GRACE);
    roster.replace(at(0), vec![entry("a"), entry("b")]);
    roster.replace(at(3_000), vec![entry("a"), entry("b")]);
    assert_eq!(gone(&roster.replace(at(3_700), vec![entry("a")])), 1);
}

#[test]
fn entries_that_expired_in_an_outage_are_kept_for_the_grace_period() {
    let mut roster = Roster::new(GRACE);
    roster.replace(at(0), vec![entry("a"), entry("b")]);
    roster.failed();
    assert_eq!(gone(&roster.replace(at(9_000), vec![])), 0);
    assert_eq!(roster.len(), 2);
    assert_eq!(gone(&roster.replace(at(10_000), vec![entry("a")])), 0);
    assert_eq!(gone(&roster.replace(at(11_300), vec![entry("a")])), 1);
}

#[test]
fn a_draining_entry_is_a_change_also_in_an_outage() {
    let mut roster = Roster::new(GRACE);
    roster.replace(at(0), vec![entry("a")]);
    roster.failed();
    let mut draining = entry("a");
    draining.draining = true;
    let changes = roster.replace(at(5_000), vec![draining.clone()]);
    assert_eq!(changes, [RosterChange::Listed(draining)]);
}

#[test]
fn equal_lists_have_equal_hashes_and_different_lists_different_ones() {
    let mut first = Roster::new(GRACE);
    let mut second = Roster::new(GRACE);
    first.replace(at(0), vec![entry("a"), entry("b")]);
    second.replace(at(9), vec![entry("b"), entry("a")]);
    assert_eq!(first.hash(), second.hash());
    let mut draining = entry("a");
    draining.draining = true;
    second.replace(at(10), vec![draining, entry("b")]);
    assert_ne!(first.hash(), second.hash());
}

#[test]
fn availability_reported_by_another_daemon_settles_a_list() {
    let mut roster = Roster::new(GRACE);
    roster.replace(at(0), vec![entry("a"), entry("b")]);
    roster.failed();
    roster.assume_available(at(1_000));
    assert_eq!(gone(&roster.replace(at(4_000), vec![entry("a")])), 1);
}

/// Guards against keeping entries of endpoints that have left because a reader was refused by the source.
#[test]
fn a_reader_that_cannot_tell_which_entries_are_gone_resets_no_follower() {
    let mut follower = Roster::new(GRACE);
    follower.replace(at(0), vec![entry("a"), entry("b")]);
    follower.record_answer(at(9_500));
    follower.record_unknown(at(10_000));
    assert!(follower.has_settled(at(10_000)));
    assert_eq!(gone(&follower.replace(at(10_100), vec![entry("a")])), 1);
}

/// Entries may have expired while the source answered nobody, so they are kept for the grace period.
#[test]
fn readers_that_cannot_tell_reset_a_follower_after_an_outage_of_the_source() {
    let mut follower = Roster::new(GRACE);
    follower.replace(at(0), vec![entry("a"), entry("b")]);
    follower.record_answer(at(8_000));
    follower.record_unknown(at(9_600));
    assert!(!follower.has_settled(at(9_600)));
    assert_eq!(gone(&follower.replace(at(9_700), vec![entry("a")])), 0);
}

/// Guards against following a reader that starts while an endpoint leaves.
///
/// Such a reader keeps the entry, since an outage may have ended just before. Followers that have
/// known the source to be available for longer must learn that the endpoint is gone.
#[test]
fn the_list_of_a_daemon_that_has_just_started_is_not_followed_by_a_settled_one() {
    let mut follower = Roster::new(GRACE);
    follower.replace(at(0), vec![entry("a"), entry("b")]);
    let mut reader = Roster::new(GRACE);
    reader.replace(at(27_900), vec![entry("a"), entry("b")]);
    assert_eq!(gone(&reader.replace(at(28_700), vec![entry("a")])), 0);
    assert!(!follower.may_accept(at(28_800), at(28_700), reader.available_since().unwrap()));
    assert_eq!(gone(&follower.replace(at(28_800), vec![entry("a")])), 1);
    // The same holds once the reader has settled, until it has read its list again.
    assert!(!follower.may_accept(at(30_200), at(29_700), reader.available_since().unwrap()));
    assert!(follower.may_accept(at(30_800), at(30_700), reader.available_since().unwrap()));
}

#[test]
fn after_an_outage_of_the_source_daemons_follow_the_readers() {
    let mut follower = Roster::new(GRACE);
    follower.replace(at(0), vec![entry("a")]);
    follower.failed();
    assert!(follower.may_accept(at(9_500), at(9_400), at(9_300)));
}

/// Reads two lists and returns the hashes of both as well.
fn read_twice() -> (Roster, u64, u64) {
    let mut roster = Roster::new(GRACE);
    roster.replace(at(0), vec![entry("a"), entry("b")]);
    let first = roster.hash();
    roster.replace(at(3_000), vec![entry("b"), entry("c")]);
    let second = roster.hash();
    (roster, first, second)
}

#[test]
fn a_daemon_with_an_earlier_list_gets_the_changes_since_then() {
    let (mut reader, first, second) = read_twice();
    reader.replace(at(4_000), vec![entry("c")]);
    let mut other = Roster::new(GRACE);
    other.replace(at(9), vec![entry("a"), entry("b")]);
    assert_eq!(other.hash(), first);
    let changes = reader.changes_since(first).unwrap();
    assert_eq!(other.apply_changes(at(4_000), at(0), first, changes).len(), 3);
    assert_eq!(other.hash(), reader.hash());
    assert_eq!(other.read(), Some(at(4_000)));
    assert_eq!(reader.changes_since(second).unwrap(), [RosterChange::Gone("b".into())]);
    assert_eq!(reader.changes_since(reader.hash()).unwrap(), []);
}

#[test]
fn a_daemon_without_a_list_gets_all_entries_and_one_with_an_unknown_list_none() {
    let (reader, ..) = read_twice();
    let mut other = Roster::new(GRACE);
    let changes = reader.changes_since(other.hash()).unwrap();
    other.apply_changes(at(1), at(0), other.hash(), changes);
    assert_eq!(other.hash(), reader.hash());
    assert_eq!(reader.changes_since(77), None);
}

#[test]
fn changes_to_another_list_are_ignored() {
    let (mut roster, first, second) = read_twice();
    let changes = vec![RosterChange::Gone("c".into())];
    assert_eq!(roster.apply_changes(at(9_000), at(0), first, changes), []);
    assert_eq!(roster.hash(), second);
    assert_eq!(roster.read(), Some(at(3_000)));
}

#[test]
fn a_list_that_changed_too_often_or_too_much_is_not_sent_as_changes() {
    let mut roster = Roster::new(GRACE);
    let list = |count: usize| (0..count).map(|i| entry(&format!("e{i}"))).collect::<Vec<_>>();
    roster.replace(at(0), list(1));
    let first = roster.hash();
    for count in 2..60 {
        roster.replace(at(count as u64 * 1_000), list(count));
    }
    assert_eq!(roster.changes_since(first), None);
    assert!(roster.changes_since(0).is_some());
    let before = roster.hash();
    roster.replace(at(90_000), list(400));
    assert_eq!(roster.changes_since(before), None);
    assert_eq!(roster.changes_since(0), None);
}

#[test]
fn a_late_write_of_an_earlier_start_is_ignored() {
    let mut roster = Roster::new(GRACE);
    let again = RosterEntry { start: 7, ..entry("a") };
    roster.replace(at(0), vec![RosterEntry { start: 5, ..entry("a") }]);
    assert_eq!(roster.replace(at(100), vec![again.clone()]), [RosterChange::Listed(again)]);
    let late = RosterEntry { start: 5, draining: true, ..entry("a") };
    assert_eq!(roster.replace(at(200), vec![late]), []);
    assert_eq!(gone(&roster.replace(at(4_000), vec![])), 1);
}

/// Guards against keeping the entry of an endpoint that leaves right before the end of a network
/// partition.
///
/// A daemon is cut off for eight seconds. The endpoint must be removed within three seconds after
/// that.
#[test]
fn a_daemon_that_was_cut_off_learns_at_once_which_entries_are_gone() {
    let mut roster = Roster::new(GRACE);
    roster.replace(at(0), vec![entry("a"), entry("b")]);
    roster.failed();
    // This is the first list after the partition. As far as the daemon knows, an outage may have
    // ended just now.
    assert_eq!(gone(&roster.replace(at(25_000), vec![entry("a")])), 0);
    // Another daemon has read the source throughout and has a different list.
    let mut other = Roster::new(GRACE);
    other.replace(at(0), vec![entry("a"), entry("b")]);
    other.replace(at(25_400), vec![entry("a")]);
    assert!(roster.may_accept(at(25_500), at(25_400), other.available_since().unwrap()));
    roster.assume_available(other.available_since().unwrap());
    roster.record_other_list(other.hash(), at(25_400));
    assert_eq!(roster.read(), None, "to be read at once");
    assert_eq!(gone(&roster.replace(at(25_600), vec![entry("a")])), 1);
    roster.record_other_list(other.hash(), at(26_000));
    assert!(roster.read().is_some(), "the same list");
    // An older list of another daemon has no effect.
    roster.replace(at(27_000), vec![entry("a"), entry("c")]);
    roster.record_other_list(other.hash(), at(26_400));
    assert!(roster.read().is_some());
}

/// Guards against following a reader that has just started and keeps the entry of an endpoint that
/// has left.
///
/// The follower has just started too. Without an early read, it would send requests to that
/// endpoint until the list reached its maximum age.
#[test]
fn a_list_that_may_hold_gone_entries_is_read_again_after_the_follower_has_settled() {
    let mut reader = Roster::new(GRACE);
    reader.replace(at(17_280), vec![entry("a"), entry("b")]);
    assert_eq!(gone(&reader.replace(at(18_300), vec![entry("a")])), 0);
    let mut follower = Roster::new(GRACE);
    follower.replace(at(16_400), vec![entry("a"), entry("b")]);
    assert!(follower.may_accept(at(18_500), at(18_300), at(17_280)));
    follower.assume_available(at(17_280));
    let changes = reader.changes_since(follower.hash()).unwrap();
    follower.apply_changes(at(18_300), at(17_280), follower.hash(), changes);
    assert!(follower.is_current(at(18_700), MAX_AGE));
    // Three seconds after its start, the follower must read the list again.
    assert!(!follower.is_current(at(19_400), MAX_AGE));
    assert_eq!(gone(&follower.replace(at(19_400), vec![entry("a")])), 1);
    assert!(follower.is_current(at(19_500), MAX_AGE));
}

/// Followers must not read the source again while the list of a settled reader is recent.
#[test]
fn the_list_of_a_settled_reader_stays_current() {
    let mut follower = Roster::new(GRACE);
    follower.replace(at(0), vec![entry("a"), entry("b")]);
    follower.replace(at(1_000), vec![entry("a")]);
    let changes = vec![RosterChange::Gone("b".into())];
    follower.apply_changes(at(2_500), at(0), follower.hash(), changes);
    assert!(follower.is_current(at(3_500), MAX_AGE));
}

/// Guards against trusting a kept entry because of an older list of a settled reader.
#[test]
fn an_older_list_of_a_settled_reader_does_not_confirm_kept_entries() {
    let mut follower = Roster::new(GRACE);
    follower.replace(at(10_000), vec![entry("a"), entry("b")]);
    follower.replace(at(12_000), vec![entry("a")]);
    follower.apply_changes(at(11_900), at(0), follower.hash(), Vec::new());
    assert!(!follower.is_current(at(12_900), MAX_AGE));
    follower.apply_changes(at(12_600), at(0), follower.hash(), Vec::new());
    assert!(follower.is_current(at(12_900), MAX_AGE));
}
