//! Tests that identifiers are not used after their slot may have been deleted.

use proptest::prelude::*;
use trefoildyke_decide::intents;

use crate::intents::fixture::{self, LAYOUT, NOW_MS, RETENTION};

fn created(now_ms: u64, is_trusted: bool) -> intents::Outcome {
    let key = fixture::key(1);
    let row = intents::Row { key: key.clone(), ..fixture::row(1, 1) };
    let cache = intents::SlotCache::default();
    let mut commit = intents::Commit::new(cache, RETENTION, 10_000, vec![row]);
    commit.next(NOW_MS);
    commit.observe(intents::StepResult::Found(vec![]));
    commit.next(NOW_MS);
    commit.observe(intents::StepResult::Written { revision: 1 });
    assert_eq!(RETENTION.proves_creation(&key.id, now_ms), is_trusted);
    commit.finish(now_ms).1.remove(0)
}

#[test]
fn a_writer_paused_past_the_retention_does_not_trust_its_record() {
    let limit = NOW_MS + RETENTION.keep_ms + RETENTION.skew_ms;
    assert_eq!(created(limit, true), intents::Outcome::Created);
    assert_eq!(created(limit + 1, false), intents::Outcome::Unknown);
}

#[test]
fn an_identifier_outside_the_retention_is_not_written() {
    for (created_ms, accepted) in [
        (NOW_MS - RETENTION.keep_ms, true),
        (NOW_MS - RETENTION.keep_ms - 1, false),
        (NOW_MS + RETENTION.skew_ms, true),
        (NOW_MS + RETENTION.skew_ms + 1, false),
    ] {
        let row = intents::Row { key: fixture::key_at(1, created_ms), ..fixture::row(1, 1) };
        let cache = intents::SlotCache::default();
        let mut commit = intents::Commit::new(cache, RETENTION, 10_000, vec![row]);
        let step = commit.next(NOW_MS);
        assert_eq!(step != intents::Step::Done, accepted, "created at {created_ms}");
        if !accepted {
            assert_eq!(commit.finish(NOW_MS).1, [intents::Outcome::Expired]);
        }
    }
}

#[test]
fn a_slot_with_missing_parts_accepts_no_rows() {
    let stored = |index, revision| {
        let rows = vec![fixture::row(9, 9)];
        intents::Stored { index, revision, part: intents::Part { sealed: true, rows } }
    };
    let cache = intents::SlotCache::default();
    let mut commit = intents::Commit::new(cache, RETENTION, 10_000, vec![fixture::row(1, 1)]);
    commit.next(NOW_MS);
    commit.observe(intents::StepResult::Found(vec![stored(3, 8)]));
    assert_eq!(commit.next(NOW_MS), intents::Step::Done);
    assert_eq!(commit.finish(NOW_MS).1, [intents::Outcome::Expired]);
}

#[test]
fn a_slot_deleted_between_two_commits_accepts_no_rows() {
    let cache = intents::SlotCache::default();
    let rows = vec![fixture::row(1, 1)];
    let mut first = intents::Commit::new(cache, RETENTION, 10_000, rows);
    first.next(NOW_MS);
    first.observe(intents::StepResult::Found(vec![]));
    first.next(NOW_MS);
    first.observe(intents::StepResult::Written { revision: 4 });
    let (cache, _) = first.finish(NOW_MS);
    let rows = vec![fixture::row(2, 1)];
    let mut second = intents::Commit::new(cache, RETENTION, 10_000, rows);
    second.next(NOW_MS);
    second.observe(intents::StepResult::Conflict(None));
    assert_eq!(second.next(NOW_MS), intents::Step::Done);
    assert_eq!(second.finish(NOW_MS).1, [intents::Outcome::Expired]);
}

proptest! {
    /// The clocks of two hosts differ by up to `skew_ms`. A record that one host still trusts is in a slot
    /// that the other host has not deleted.
    #[test]
    fn the_slot_of_a_trusted_record_is_not_deleted(
        age_ms in 0..1_000_000_u64,
        ahead_ms in 0..=RETENTION.skew_ms,
        number in 0..1_000_u64,
    ) {
        let key = fixture::key(number);
        let writer_ms = NOW_MS + age_ms;
        let sweeper_ms = writer_ms + ahead_ms;
        let slot = LAYOUT.slot(&key);
        if RETENTION.proves_creation(&key.id, writer_ms) {
            prop_assert!(!LAYOUT.is_expired(slot.slice, sweeper_ms));
        }
    }

    #[test]
    fn a_slot_can_be_deleted_after_the_retention_and_twice_the_skew(number in 0..1_000_u64) {
        let slot = LAYOUT.slot(&fixture::key(number));
        let end_ms = LAYOUT.slice_end(slot.slice) + RETENTION.keep_ms + 2 * RETENTION.skew_ms;
        prop_assert!(!LAYOUT.is_expired(slot.slice, end_ms));
        prop_assert!(LAYOUT.is_expired(slot.slice, end_ms + 1));
    }
}

/// A sweep that does not wait for the difference between clocks deletes a record that is still trusted.
#[test]
fn without_waiting_for_the_skew_a_trusted_record_is_deleted() {
    let without_skew =
        intents::Layout { retention: intents::Retention { skew_ms: 0, ..RETENTION }, ..LAYOUT };
    let slice_start = LAYOUT.slice_end(LAYOUT.slot(&fixture::key(1)).slice - 1);
    let last_of_slice = fixture::key_at(1, slice_start + LAYOUT.slice_ms - 1);
    let now_ms = LAYOUT.slice_end(LAYOUT.slot(&last_of_slice).slice) + RETENTION.keep_ms + 1;
    assert!(RETENTION.proves_creation(&last_of_slice.id, now_ms));
    assert!(without_skew.is_expired(LAYOUT.slot(&last_of_slice).slice, now_ms));
    assert!(!LAYOUT.is_expired(LAYOUT.slot(&last_of_slice).slice, now_ms));
}
