//! Tests of one daemon's commit: lost answers at each step, duplicate rows and full parts.

use trefoildyke_decide::intents::{Commit, Outcome, Part, SlotCache, Step, StepResult, Stored};

use crate::intents::fixture::{self, NOW_MS, RETENTION, SMALL_PART};

fn commit(numbers: std::ops::Range<u64>) -> Commit {
    let rows = numbers.map(|number| fixture::row(number, 1)).collect();
    Commit::new(SlotCache::default(), RETENTION, SMALL_PART, rows)
}

fn write(commit: &mut Commit) -> (u32, u64, Part) {
    match commit.next(NOW_MS) {
        Step::Write { index, expected_revision, part } => (index, expected_revision, part),
        step => panic!("expected a write, got {step:?}"),
    }
}

fn read(commit: &mut Commit, found: Vec<Stored>) {
    assert!(matches!(commit.next(NOW_MS), Step::Read { .. }));
    commit.observe(StepResult::Found(found));
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let mut commit = commit(0..1);
    read(&mut commit, vec![]);
    let (index, _, part) = write(&mut commit);
    commit.observe(StepResult::Unanswered);
    read(&mut commit, vec![Stored { index, revision: 3, part }]);
    assert_eq!(commit.next(NOW_MS), Step::Done);
    assert_eq!(commit.finish(NOW_MS).1, [Outcome::Created]);
}

#[test]
fn a_lost_call_is_resolved_by_a_write_at_the_same_revision() {
    let mut commit = commit(0..1);
    read(&mut commit, vec![]);
    let first = write(&mut commit);
    commit.observe(StepResult::Unanswered);
    read(&mut commit, vec![]);
    assert_eq!(write(&mut commit), first, "only one of the two writes can take effect");
    let stored = Stored { index: 0, revision: 3, part: first.2 };
    commit.observe(StepResult::Conflict(Some(stored)));
    assert_eq!(commit.next(NOW_MS), Step::Done);
    assert_eq!(commit.finish(NOW_MS).1, [Outcome::Created]);
}

#[test]
fn a_lost_answer_that_cannot_be_read_back_is_unsure() {
    let mut commit = commit(0..2);
    read(&mut commit, vec![]);
    write(&mut commit);
    commit.observe(StepResult::Unanswered);
    commit.next(NOW_MS);
    commit.observe(StepResult::Refused);
    assert_eq!(commit.finish(NOW_MS).1, [Outcome::Unknown, Outcome::Unknown]);
}

#[test]
fn a_missing_record_after_a_lost_answer_is_unsure() {
    let mut commit = commit(0..1);
    read(&mut commit, vec![]);
    write(&mut commit);
    commit.observe(StepResult::Unanswered);
    read(&mut commit, vec![]);
    assert_eq!(commit.finish(NOW_MS).1, [Outcome::Unknown], "the write may still arrive");
}

#[test]
fn a_refused_write_is_unavailable() {
    let mut commit = commit(0..1);
    read(&mut commit, vec![]);
    write(&mut commit);
    commit.observe(StepResult::Refused);
    assert_eq!(commit.finish(NOW_MS).1, [Outcome::Unavailable]);
}

#[test]
fn one_key_twice_in_a_batch_is_created_once() {
    let rows = vec![fixture::row(0, 1), fixture::row(0, 2), fixture::row(0, 1)];
    let mut commit = Commit::new(SlotCache::default(), RETENTION, SMALL_PART, rows);
    read(&mut commit, vec![]);
    assert_eq!(write(&mut commit).2.rows.len(), 1);
    commit.observe(StepResult::Written { revision: 1 });
    assert_eq!(commit.next(NOW_MS), Step::Done);
    let exists = Outcome::Exists(fixture::row(0, 1).record);
    assert_eq!(commit.finish(NOW_MS).1, [Outcome::Created, exists, Outcome::Created]);
}

#[test]
fn a_batch_longer_than_a_part_rolls_over() {
    let mut commit = commit(0..20);
    read(&mut commit, vec![]);
    let mut stored = 0;
    let mut next = 0;
    while commit.next(NOW_MS) != Step::Done {
        let (index, expected_revision, part) = write(&mut commit);
        assert_eq!((index, expected_revision), (next, 0), "each part is created once");
        assert!(part.size() <= SMALL_PART, "{} bytes", part.size());
        assert!(!part.rows.is_empty());
        stored += part.rows.len();
        next += u32::from(part.sealed);
        commit.observe(StepResult::Written { revision: u64::from(index) + 1 });
    }
    assert_eq!(stored, 20);
    assert!(commit.finish(NOW_MS).1.iter().all(|outcome| *outcome == Outcome::Created));
}

#[test]
fn a_cache_is_kept_from_one_commit_to_the_next() {
    let rows = vec![fixture::row(0, 1)];
    let mut first = Commit::new(SlotCache::default(), RETENTION, 10_000, rows);
    read(&mut first, vec![]);
    write(&mut first);
    first.observe(StepResult::Written { revision: 7 });
    first.next(NOW_MS);
    let (cache, _) = first.finish(NOW_MS);
    assert_eq!(cache.len(), 1);
    let rows = vec![fixture::row(0, 2), fixture::row(1, 2)];
    let mut second = Commit::new(cache, RETENTION, 10_000, rows);
    let (_, expected_revision, part) = write(&mut second);
    assert_eq!((expected_revision, part.rows.len()), (7, 2), "no read is needed");
}

#[test]
fn reading_first_finds_rows_that_other_daemons_wrote() {
    let rows = vec![fixture::row(0, 1)];
    let mut first = Commit::new(SlotCache::default(), RETENTION, 10_000, rows);
    read(&mut first, vec![]);
    let (_, _, part) = write(&mut first);
    first.observe(StepResult::Written { revision: 1 });
    let (cache, _) = first.finish(NOW_MS);
    assert!(cache.find(&fixture::key(5)).is_none());
    let mut look_up = Commit::new(cache, RETENTION, 10_000, vec![]).with_fresh_read();
    let mut sealed = part;
    sealed.rows.push(fixture::row(5, 2));
    sealed.sealed = true;
    read(&mut look_up, vec![Stored { index: 0, revision: 2, part: sealed }]);
    assert!(!look_up.is_read_done(), "another part may follow");
    assert_eq!(look_up.next(NOW_MS), Step::Read { first: 1 });
    look_up.observe(StepResult::Refused);
    assert!(!look_up.is_read_done());
    read(&mut look_up, vec![]);
    assert!(look_up.is_read_done());
    assert_eq!(look_up.next(NOW_MS), Step::Done);
    let (cache, _) = look_up.finish(NOW_MS);
    assert_eq!(cache.find(&fixture::key(5)), Some(&fixture::row(5, 2).record));
}
