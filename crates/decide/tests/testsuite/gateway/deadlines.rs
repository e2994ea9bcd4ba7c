//! Telling callers that return after a refusal from callers that come for the first time.

use std::time::Duration;

use trefoildyke_decide::gateway::Deadlines;

fn time_spent(deadlines: &mut Deadlines, ms: u64) -> u64 {
    deadlines.time_spent("interview", Duration::from_millis(ms)).as_millis() as u64
}

/// These are deadlines of first attempts at a site that had grown: 12.8 to 15 seconds.
#[test]
fn callers_whose_deadlines_differ_a_little_do_not_count_as_returning() {
    let mut deadlines = Deadlines::default();
    for ms in [14_478, 12_889, 15_000, 12_819, 13_500, 14_795] {
        assert_eq!(time_spent(&mut deadlines, ms), 0, "{ms}");
    }
}

/// The callers were refused at once or after three quarters of 3.2 seconds, and stayed away for a
/// quarter of the remaining time.
#[test]
fn returning_callers_are_recognized_by_their_remaining_time() {
    let mut deadlines = Deadlines::default();
    assert_eq!(time_spent(&mut deadlines, 15_000), 0);
    assert_eq!(time_spent(&mut deadlines, 11_400), 3_600);
    assert_eq!(time_spent(&mut deadlines, 9_500), 5_500);
}

#[test]
fn routes_are_tracked_separately() {
    let mut deadlines = Deadlines::default();
    assert_eq!(time_spent(&mut deadlines, 15_000), 0);
    assert_eq!(deadlines.time_spent("status", Duration::from_millis(1_500)), Duration::ZERO);
}
