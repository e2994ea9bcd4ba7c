//! Rate limits that endpoints report in their answers.

use super::support::{at, demand, granted, pool};

/// Guards against reporting a change when the limit stays the same, and against missing one.
#[test]
fn only_a_changed_rate_limit_is_reported() {
    let mut pool = pool(&["e"]);
    let grant = granted(pool.arrive(at(0), demand(0, 0)));
    let mut note = |ms, per_s| pool.note_rate_limit(at(ms), &grant, per_s);
    assert!(!note(10, None));
    assert!(note(20, Some(2.5)));
    assert!(!note(30, Some(2.5)));
    assert!(note(40, Some(1.9)));
    assert!(note(50, None));
    assert!(!note(60, None));
}

/// Guards against an older answer overwriting a newer limit.
#[test]
fn an_outdated_rate_limit_is_ignored() {
    let mut pool = pool(&["e"]);
    let grant = granted(pool.arrive(at(0), demand(0, 0)));
    assert!(pool.note_rate_limit(at(50), &grant, Some(2.5)));
    assert!(!pool.note_rate_limit(at(40), &grant, None));
    assert!(pool.note_rate_limit(at(50), &grant, None));
}
