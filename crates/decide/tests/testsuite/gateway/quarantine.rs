//! Detection of requests that crash endpoints.

use std::time::Duration;

use proptest::prelude::*;
use trefoildyke_decide::gateway::{
    Crash, Fingerprint, Grant, Quarantine, QuarantineChange, QuarantineParams, Roster,
};
use trefoildyke_types::time::Timestamp;

use super::support;

/// The time in milliseconds within which a crashed endpoint disappears from the list.
const ENTRY_TTL_MS: u64 = 8_000;

/// How long a crash counts, in milliseconds.
const KEPT_MS: u64 = 600_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn request(number: u8) -> Fingerprint {
    Fingerprint::of(None, [b"POST", b"claims.example", &[number], b""])
}

fn crash(number: u8, endpoint: &str) -> Crash {
    let fingerprint = request(number);
    Crash { fingerprint, endpoint: endpoint.into(), start: 0, age_ms: 0, refuted: false }
}

fn quarantine() -> Quarantine {
    Quarantine::new(QuarantineParams::default())
}

/// Reports crashes of these endpoints during one request.
fn report_crashes(quarantine: &mut Quarantine, number: u8, endpoints: &[&str]) {
    let crashes: Vec<_> = endpoints.iter().map(|endpoint| crash(number, endpoint)).collect();
    quarantine.learn(at(0), &crashes);
}

fn is_quarantined(quarantine: &Quarantine, number: u8) -> bool {
    quarantine.quarantined_for(at(1), request(number)).is_some()
}

#[test]
fn a_request_is_quarantined_once_three_endpoints_have_crashed_during_it() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1, &["a", "b"]);
    assert!(!is_quarantined(&quarantine, 1));
    let changes = quarantine.learn(at(0), &[crash(1, "c")]);
    assert_eq!(changes, [QuarantineChange::Quarantined { fingerprint: request(1), crashes: 3 }]);
    assert!(is_quarantined(&quarantine, 1));
    assert!(!is_quarantined(&quarantine, 2));
}

/// Two daemons that had the same request at an endpoint both see its crash, and a datagram may come
/// twice.
#[test]
fn the_crash_of_one_start_of_an_endpoint_counts_once() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1, &["a", "a", "b", "b"]);
    assert!(!is_quarantined(&quarantine, 1));
    quarantine.learn(at(0), &[Crash { start: 7, ..crash(1, "a") }]);
    assert!(is_quarantined(&quarantine, 1));
}

#[test]
fn a_request_that_an_endpoint_has_completed_is_released_everywhere() {
    let mut first = quarantine();
    report_crashes(&mut first, 1, &["a", "b", "c"]);
    let mut second = first.clone();
    let changes = first.record_completion(at(1), request(1)).unwrap();
    assert_eq!(changes, [QuarantineChange::Released(request(1))]);
    assert!(first.record_completion(at(1), request(1)).is_none());
    // Messages of a daemon that still counts the crashes do not restore them.
    first.learn(at(2), &second.shared(at(2)));
    second.learn(at(2), &first.shared(at(2)));
    assert!(!is_quarantined(&first, 1) && !is_quarantined(&second, 1));
    assert_eq!(first.hash(), second.hash());
    // Three new crashes count.
    report_crashes(&mut first, 1, &["d", "e", "f"]);
    assert!(is_quarantined(&first, 1));
}

/// A harmless request is sent again after each crash, and by chance always runs beside the request
/// that crashes endpoints.
#[test]
fn a_request_that_only_runs_beside_the_harmful_one_is_not_quarantined() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1, &["a", "b", "c"]);
    report_crashes(&mut quarantine, 2, &["a", "b", "c", "d"]);
    assert!(is_quarantined(&quarantine, 2));
    assert!(!is_quarantined(&quarantine, 1));
    // Crashes of endpoints that did not run the harmful request count.
    report_crashes(&mut quarantine, 1, &["x", "y", "z"]);
    assert!(is_quarantined(&quarantine, 1));
}

/// A request that is sent often runs beside most crashes, whatever their cause.
#[test]
fn a_request_that_endpoints_complete_in_between_does_not_release_the_harmful_one() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1, &["a"]);
    quarantine.record_completion(at(0), request(1));
    report_crashes(&mut quarantine, 2, &["b", "c", "d"]);
    report_crashes(&mut quarantine, 1, &["b", "c", "d", "e"]);
    assert!(is_quarantined(&quarantine, 2));
    assert!(!is_quarantined(&quarantine, 1));
}

/// A request may be sent to an endpoint that has already crashed, until that is known.
#[test]
fn a_request_that_is_cut_off_later_does_not_release_the_harmful_one() {
    for (harmful, harmless) in [(1, 2), (2, 1)] {
        let mut quarantine = quarantine();
        report_crashes(&mut quarantine, harmful, &["a", "b", "c"]);
        report_crashes(&mut quarantine, harmless, &["a", "b"]);
        quarantine.learn(at(300), &[crash(harmless, "c")]);
        assert!(is_quarantined(&quarantine, harmful));
        assert!(!is_quarantined(&quarantine, harmless));
    }
}

/// Otherwise the two release each other in turns.
#[test]
fn a_request_that_follows_the_harmful_one_from_crash_to_crash_does_not_release_it() {
    for (harmful, harmless) in [(1, 2), (2, 1)] {
        let mut quarantine = quarantine();
        report_crashes(&mut quarantine, harmless, &["a", "b", "c"]);
        quarantine.learn(at(100), &["a", "b", "c", "d"].map(|endpoint| crash(harmful, endpoint)));
        assert!(is_quarantined(&quarantine, harmful));
        quarantine.learn(at(108), &[crash(harmless, "d")]);
        assert!(is_quarantined(&quarantine, harmful));
        assert!(!is_quarantined(&quarantine, harmless));
    }
}

/// An endpoint may go on accepting connections for a moment after its crash.
#[test]
fn a_crash_does_not_count_for_a_request_sent_after_a_quarantined_one_had_crashed_the_endpoint() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1, &["a", "b"]);
    quarantine.learn(at(50), &[crash(1, "c")]);
    let sent = |name: &str, ms| Grant { at: at(ms), ..support::grant_at(name) };
    assert!(quarantine.record_crash(at(110), request(2), &sent("c", 100)).is_none());
    assert!(quarantine.record_crash(at(110), request(2), &sent("c", 40)).is_some());
    assert!(quarantine.record_crash(at(110), request(2), &sent("d", 100)).is_some());
    assert!(quarantine.record_crash(at(110), request(1), &sent("c", 100)).is_some());
    assert_eq!(quarantine.crash_count(at(110), request(2)), 2);
}

#[test]
fn a_crash_counts_for_ten_minutes_and_later_crashes_quarantine_the_request_again() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1, &["a", "b"]);
    quarantine.learn(at(60_000), &[crash(1, "c")]);
    assert!(quarantine.quarantined_for(at(KEPT_MS - 1), request(1)).is_some());
    assert_eq!(quarantine.quarantined_for(at(KEPT_MS), request(1)), None);
    quarantine.learn(at(KEPT_MS), &[crash(1, "d"), crash(1, "e")]);
    assert!(quarantine.quarantined_for(at(KEPT_MS), request(1)).is_some());
}

#[test]
fn exchanging_crashes_does_not_extend_their_lifetime() {
    let mut first = quarantine();
    report_crashes(&mut first, 1, &["a", "b", "c"]);
    // This daemon has just started, and its clock is near zero.
    let mut second = quarantine();
    second.learn(at(5), &first.shared(at(KEPT_MS - 10)));
    assert!(second.quarantined_for(at(14), request(1)).is_some());
    assert_eq!(second.quarantined_for(at(15), request(1)), None);
    let mut third = quarantine();
    third.learn(at(5), &first.shared(at(KEPT_MS)));
    assert!(third.shared(at(5)).is_empty());
}

#[test]
fn callers_come_back_after_the_lapse_and_then_after_the_crashes_expire() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1, &["a", "b"]);
    quarantine.learn(at(2_000), &[crash(1, "c")]);
    let after = |ms| quarantine.quarantined_for(at(ms), request(1)).unwrap().as_millis() as u64;
    assert_eq!(after(3_000), ENTRY_TTL_MS - 1_000);
    assert_eq!(after(2_000 + ENTRY_TTL_MS), KEPT_MS - 2_000 - ENTRY_TTL_MS);
}

#[test]
fn an_endpoint_that_stays_listed_has_not_crashed() {
    let mut quarantine = quarantine();
    let mut roster = Roster::new(Duration::from_millis(2_200));
    let list = || vec![support::entry("a"), support::entry("b")];
    roster.replace(at(0), list());
    report_crashes(&mut quarantine, 1, &["a", "b", "gone"]);
    let compare = |quarantine: &mut Quarantine, roster: &Roster, ms| {
        quarantine.refute_listed(at(ms), request(1), |start, moment, entry_ttl| {
            roster.was_listed_after(at(ms), start, moment, entry_ttl)
        })
    };
    roster.replace(at(ENTRY_TTL_MS - 1), list());
    assert!(compare(&mut quarantine, &roster, ENTRY_TTL_MS - 1).is_none());
    roster.replace(at(ENTRY_TTL_MS), list());
    let changes = compare(&mut quarantine, &roster, ENTRY_TTL_MS).unwrap();
    assert_eq!(changes, [QuarantineChange::Released(request(1))]);
    assert_eq!(quarantine.crash_count(at(ENTRY_TTL_MS), request(1)), 1);
}

/// While the store is unavailable, entries of crashed endpoints may stay.
#[test]
fn a_list_whose_source_was_unavailable_does_not_refute_crashes() {
    let mut roster = Roster::new(Duration::from_millis(2_200));
    let entry_ttl = Duration::from_millis(ENTRY_TTL_MS);
    let start = ("a".into(), 0);
    roster.replace(at(0), vec![support::entry("a")]);
    roster.failed();
    roster.replace(at(20_000), vec![support::entry("a")]);
    assert!(!roster.was_listed_after(at(20_000), &start, at(0), entry_ttl));
    roster.replace(at(28_000), vec![support::entry("a")]);
    assert!(roster.was_listed_after(at(28_000), &start, at(0), entry_ttl));
    assert!(!roster.was_listed_after(at(28_000), &("a".into(), 1), at(0), entry_ttl));
    assert!(!roster.was_listed_after(at(28_000), &("b".into(), 0), at(0), entry_ttl));
}

#[test]
fn a_single_crash_is_not_shared_with_all_daemons() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1, &["a"]);
    assert_eq!((quarantine.hash(), quarantine.shared(at(0)).len()), (0, 0));
    report_crashes(&mut quarantine, 1, &["b"]);
    assert_ne!(quarantine.hash(), 0);
    assert_eq!(quarantine.shared(at(0)).len(), 2);
}

/// A flood of crashes must neither fill the memory, nor remove the quarantined requests from memory
/// or from the reports.
#[test]
fn a_flood_of_crashes_is_bounded_and_keeps_quarantined_requests() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 0, &["a", "b", "c"]);
    for number in 0..3_000_u32 {
        let fingerprint = Fingerprint::of(None, [b"GET", b"", &number.to_le_bytes(), b""]);
        let crashes = ["x", "y"].map(|endpoint| Crash { fingerprint, ..crash(1, endpoint) });
        quarantine.learn(at(u64::from(number) + 1), &crashes);
    }
    assert!(is_quarantined(&quarantine, 0));
    let reported = quarantine.shared(at(3_000));
    assert!(reported.len() <= 128, "{}", reported.len());
    assert!(reported.iter().any(|crash| crash.fingerprint == request(0)));
    assert_eq!(quarantine.own_crashes(at(3_000), Duration::from_secs(5)).len(), 0);
}

proptest! {
    /// Messages may be lost, repeated or reordered: daemons that have received the same crashes are
    /// in the same state.
    #[test]
    fn daemons_that_received_the_same_crashes_quarantine_the_same_requests(
        heard in prop::collection::vec((0..3_u8, 0..5_u8, any::<bool>()), 0..40),
        order in any::<prop::sample::Index>(),
    ) {
        let crashes: Vec<_> = heard
            .iter()
            .map(|(number, endpoint, refuted)| Crash {
                refuted: *refuted,
                ..crash(*number, &endpoint.to_string())
            })
            .collect();
        let (mut first, mut second) = (quarantine(), quarantine());
        first.learn(at(0), &crashes);
        for crash in support::redeliver(&crashes, order) {
            second.learn(at(0), std::slice::from_ref(crash));
        }
        prop_assert_eq!(first.hash(), second.hash());
        for number in 0..3 {
            prop_assert_eq!(is_quarantined(&first, number), is_quarantined(&second, number));
        }
    }
}
