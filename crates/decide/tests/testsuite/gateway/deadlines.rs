//! Telling callers that come back from those that come for the first time.

use std::time::Duration;

use trefoildyke_decide::gateway::Deadlines;

fn spent(deadlines: &mut Deadlines, ms: u64) -> u64 {
    deadlines.spent("interview", Duration::from_millis(ms)).as_millis() as u64
}

/// Deadlines of first attempts as seen on a grown site: 12.8 to 15 seconds.
#[test]
fn callers_whose_deadlines_differ_a_little_are_not_taken_for_returning_ones() {
    let mut deadlines = Deadlines::default();
    for ms in [14_478, 12_889, 15_000, 12_819, 13_500, 14_795] {
        assert_eq!(spent(&mut deadlines, ms), 0, "{ms}");
    }
}

/// Refused at once or after three quarters of 3.2 seconds, and away for a quarter of what was left.
#[test]
fn callers_that_were_refused_are_told_by_what_is_left() {
    let mut deadlines = Deadlines::default();
    assert_eq!(spent(&mut deadlines, 15_000), 0);
    assert_eq!(spent(&mut deadlines, 11_400), 3_600);
    assert_eq!(spent(&mut deadlines, 9_500), 5_500);
}

#[test]
fn routes_are_followed_each_by_itself() {
    let mut deadlines = Deadlines::default();
    assert_eq!(spent(&mut deadlines, 15_000), 0);
    assert_eq!(deadlines.spent("status", Duration::from_millis(1_500)), Duration::ZERO);
}
