//! How long an older version of the configuration is applied.

use std::time::Duration;

use trefoildyke_decide::gateway::VersionLag;
use trefoildyke_types::time::Timestamp;

const LIMIT: Duration = Duration::from_millis(1_000);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

#[test]
fn an_older_version_is_applied_until_the_limit() {
    let mut lag = VersionLag::new(LIMIT);
    lag.note_version(at(0), 5, 5);
    assert!(!lag.is_overdue(at(60_000)));
    lag.note_version(at(100), 5, 8);
    assert!(!lag.is_overdue(at(1_099)));
    assert!(lag.is_overdue(at(1_100)));
    lag.note_applied(8);
    assert!(!lag.is_overdue(at(1_100)));
}

#[test]
fn a_second_newer_version_does_not_extend_the_limit() {
    let mut lag = VersionLag::new(LIMIT);
    lag.note_version(at(0), 5, 8);
    lag.note_version(at(900), 5, 12);
    assert!(lag.is_overdue(at(1_000)));
    lag.note_applied(8);
    assert!(lag.is_overdue(at(1_000)), "version 12 is still missing");
    lag.note_applied(12);
    assert!(!lag.is_overdue(at(1_000)));
}

#[test]
fn a_read_of_the_source_shows_that_there_is_no_newer_version() {
    let mut lag = VersionLag::new(LIMIT);
    lag.note_version(at(500), 5, 8);
    lag.note_confirmed(at(499));
    assert!(lag.is_overdue(at(1_500)));
    lag.note_confirmed(at(500));
    assert!(!lag.is_overdue(at(1_500)));
}
