//! Detection of parts of prompts that crash endpoints.

use std::time::Duration;

use proptest::prelude::*;
use trefoildyke_decide::gateway::{
    Fingerprint, PartChange, PartCrash, PartCut, PartKey, PartQuarantine, PartQuarantineParams,
    PartSurvival, QuarantinedParts, shared_part_keys,
};
use trefoildyke_types::time::Timestamp;

use super::support;

/// How long a crash counts for a quarantined part, in milliseconds.
const KEPT_MS: u64 = 600_000;

/// How long a part is quarantined under which few endpoints have crashed, in milliseconds.
const TRIAL_MS: u64 = 30_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn parts(names: &[&str]) -> Vec<PartKey> {
    shared_part_keys(&"svc".into(), &format!("{},last", names.join(",")))
}

/// Returns the keys without that of the service, as they are quarantined.
fn quarantined(names: &[&str]) -> Vec<PartKey> {
    let mut keys = parts(names).split_off(1);
    keys.sort_unstable();
    keys
}

/// Reports answers to requests with another part that were sent shortly before.
fn answer_others(quarantine: &mut PartQuarantine, ms: u64) {
    for _ in 0..PartQuarantineParams::default().min_answers {
        quarantine.record_survival(at(ms), &parts(&["other"]), at(ms - 20));
    }
}

/// Decides while endpoints answer other requests.
fn decide(quarantine: &mut PartQuarantine, ms: u64) -> Vec<PartChange> {
    answer_others(quarantine, ms);
    quarantine.decide(at(ms))
}

fn request(number: u32) -> Fingerprint {
    Fingerprint::of(None, [b"POST", b"", &number.to_le_bytes(), b""])
}

fn crash(number: u32, names: &[&str], endpoint: &str) -> PartCrash {
    PartCrash {
        request: request(number),
        parts: parts(names),
        endpoint: endpoint.into(),
        start: 0,
        age_ms: 0,
        ran_ms: 100,
        refuted: 0,
    }
}

fn quarantine() -> PartQuarantine {
    PartQuarantine::new(PartQuarantineParams::default())
}

/// Reports one crash after the other from `first_ms` on, 500 ms apart, each under another request.
fn report_crashes(quarantine: &mut PartQuarantine, first_ms: u64, names: &[&str], count: u32) {
    for number in 0..count {
        let ms = first_ms + 500 * u64::from(number);
        let endpoint = format!("e-{first_ms}-{number}");
        let request = u32::try_from(first_ms).unwrap() + number;
        quarantine.learn(at(ms), &[crash(request, names, &endpoint)]);
    }
}

fn is_quarantined(quarantine: &PartQuarantine, ms: u64, names: &[&str]) -> bool {
    quarantine.quarantined_for(at(ms), &parts(names)).is_some()
}

#[test]
fn a_part_is_quarantined_once_three_endpoints_have_crashed_one_after_the_other() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1_000, &["a", "bad"], 2);
    assert_eq!(decide(&mut quarantine, 4_000), []);
    quarantine.learn(at(4_000), &[crash(9, &["b", "bad"], "x")]);
    let bad = quarantined(&["bad"]);
    let changes = [PartChange::Quarantined { parts: bad, crashes: 3 }];
    assert_eq!(decide(&mut quarantine, 4_000), changes);
    assert!(is_quarantined(&quarantine, 4_000, &["c", "bad", "d"]));
    assert!(!is_quarantined(&quarantine, 4_000, &["a", "c"]));
}

/// Requests with a part that nearly all prompts have must not be refused while a part that comes with it
/// may be the cause.
#[test]
fn requests_are_refused_only_if_they_have_all_parts_that_the_crashes_have_in_common() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1_000, &["a", "bad"], 3);
    decide(&mut quarantine, 4_000);
    assert!(is_quarantined(&quarantine, 4_000, &["a", "bad"]));
    assert!(!is_quarantined(&quarantine, 4_000, &["a"]));
    assert!(!is_quarantined(&quarantine, 4_000, &["bad"]));
    // A crash under one of the parts shows that the other one is harmless.
    quarantine.learn(at(4_500), &[crash(9, &["bad"], "x")]);
    decide(&mut quarantine, 4_500);
    assert!(is_quarantined(&quarantine, 4_500, &["bad"]));
}

/// The same host, rack or network failure interrupts many requests with the same parts at once.
#[test]
fn endpoints_that_crash_together_do_not_quarantine_a_part() {
    let mut quarantine = quarantine();
    for number in 0..12 {
        let endpoint = format!("e{}", number % 4);
        quarantine.learn(at(1_000), &[crash(number, &["a"], &endpoint)]);
    }
    decide(&mut quarantine, 5_000);
    assert!(!is_quarantined(&quarantine, 5_000, &["a"]));
}

/// A single harmful request is the matter of the quarantine of requests.
#[test]
fn crashes_under_one_repeated_request_do_not_quarantine_its_parts() {
    let mut quarantine = quarantine();
    for (ms, endpoint) in [(1_000, "a"), (2_000, "b"), (3_000, "c"), (4_000, "d")] {
        quarantine.learn(at(ms), &[crash(7, &["a"], endpoint)]);
    }
    decide(&mut quarantine, 9_000);
    assert!(!is_quarantined(&quarantine, 9_000, &["a"]));
}

#[test]
fn a_part_that_was_answered_after_the_crashes_is_harmless() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1_000, &["a"], 3);
    // These requests were sent before the last crash, and before the first one.
    quarantine.record_survival(at(2_600), &parts(&["a"]), at(1_900));
    quarantine.record_survival(at(2_600), &parts(&["a"]), at(900));
    assert_eq!(quarantine.crash_count(&quarantined(&["a"])), 1);
    report_crashes(&mut quarantine, 3_000, &["a"], 2);
    assert_eq!(decide(&mut quarantine, 6_000).len(), 1);
    let survivals = quarantine.record_survival(at(6_500), &parts(&["a"]), at(5_500));
    assert_eq!(survivals, [PartSurvival { part: parts(&["a"])[1], age_ms: 1_000 }]);
    let released = PartChange::Released { parts: quarantined(&["a"]) };
    assert_eq!(decide(&mut quarantine, 6_500), [released]);
    assert!(!is_quarantined(&quarantine, 6_500, &["a"]));
}

/// Reports cross on their way: the survival may be known before the crash.
#[test]
fn a_crash_that_is_reported_after_a_later_survival_is_refuted() {
    let mut quarantine = quarantine();
    quarantine.record_survival(at(5_000), &parts(&["a"]), at(4_000));
    let crash = PartCrash { age_ms: 2_000, ..crash(1, &["a", "b"], "e") };
    let known = quarantine.learn(at(5_000), &[crash]);
    assert_eq!(known.iter().map(|crash| crash.refuted).collect::<Vec<_>>(), [0b11]);
    assert_eq!(quarantine.crash_count(&quarantined(&["a"])), 0);
    assert_eq!(quarantine.crash_count(&quarantined(&["b"])), 1);
}

/// Requests that run beside a harmful one are interrupted as often, and are sent again.
#[test]
fn parts_that_are_only_there_at_crashes_of_another_part_are_not_quarantined() {
    let mut quarantine = quarantine();
    for number in 0..6 {
        let ms = 1_000 + 500 * u64::from(number);
        let endpoint = format!("e{number}");
        let harmful = crash(number, &["a", "bad"], &endpoint);
        let beside = crash(100 + number, &["a", "beside"], &endpoint);
        let crashes = if number < 4 { vec![harmful, beside] } else { vec![harmful] };
        quarantine.learn(at(ms), &crashes);
    }
    quarantine.record_survival(at(5_000), &parts(&["a"]), at(4_000));
    decide(&mut quarantine, 5_000);
    assert!(is_quarantined(&quarantine, 5_000, &["a", "bad"]));
    assert!(!is_quarantined(&quarantine, 5_000, &["a", "beside"]));
}

#[test]
fn two_harmful_parts_are_told_apart() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1_000, &["a", "bad"], 4);
    report_crashes(&mut quarantine, 1_100, &["a", "worse"], 3);
    quarantine.record_survival(at(5_000), &parts(&["a"]), at(4_000));
    decide(&mut quarantine, 5_000);
    assert!(is_quarantined(&quarantine, 5_000, &["b", "bad"]));
    assert!(is_quarantined(&quarantine, 5_000, &["b", "worse"]));
    assert!(!is_quarantined(&quarantine, 5_000, &["a", "b"]));
}

#[test]
fn an_answer_that_was_cut_after_a_while_does_not_make_its_parts_suspect() {
    let mut quarantine = quarantine();
    let (parts, endpoint) = (parts(&["a"]), "e".into());
    let cut = |began_at| PartCut {
        request: request(1),
        parts: &parts,
        endpoint: &endpoint,
        start: 0,
        sent_at: at(1_000),
        began_at,
    };
    assert_eq!(quarantine.record_crash(at(3_000), &cut(Some(at(2_000)))), None);
    let report = quarantine.record_crash(at(3_000), &cut(Some(at(2_001)))).unwrap();
    assert_eq!((report.ran_ms, report.age_ms), (2_000, 0));
    assert_eq!(quarantine.own_crashes(at(3_500), Duration::from_secs(1)).len(), 1);
    assert_eq!(quarantine.own_crashes(at(4_500), Duration::from_secs(1)).len(), 0);
}

#[test]
fn endpoints_that_stay_listed_have_not_crashed() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1_000, &["a"], 3);
    decide(&mut quarantine, 4_000);
    assert!(is_quarantined(&quarantine, 4_000, &["a"]));
    quarantine.refute_listed(at(9_100), |_, _, _| true);
    decide(&mut quarantine, 9_100);
    assert_eq!(quarantine.crash_count(&quarantined(&["a"])), 2);
    assert!(!is_quarantined(&quarantine, 9_100, &["a"]));
}

/// While no endpoint answers anything, no part is answered either.
#[test]
fn no_part_is_quarantined_while_endpoints_answer_no_other_requests() {
    let mut quarantine = quarantine();
    answer_others(&mut quarantine, 900);
    report_crashes(&mut quarantine, 1_000, &["a"], 6);
    assert_eq!(quarantine.decide(at(5_000)), []);
    answer_others(&mut quarantine, 10_000);
    assert_eq!(quarantine.decide(at(10_000)).len(), 1);
}

#[test]
fn a_part_under_which_few_endpoints_crashed_is_tried_again_soon() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1_000, &["a"], 4);
    decide(&mut quarantine, 4_000);
    let end = 2_500 + TRIAL_MS;
    let left = quarantine.quarantined_for(at(end - 10), &parts(&["a"])).unwrap();
    assert_eq!(left, Duration::from_millis(10));
    assert_eq!(quarantine.lasting_count(at(4_000)), 0);
    assert!(!is_quarantined(&quarantine, end, &["a"]));
    assert_eq!(decide(&mut quarantine, end).len(), 1);
    // The next crash shows that the part is harmful.
    quarantine.learn(at(end + 100), &[crash(9, &["a"], "x")]);
    decide(&mut quarantine, end + 100);
    assert!(is_quarantined(&quarantine, end + 10 * TRIAL_MS, &["a"]));
    assert_eq!(quarantine.lasting_count(at(end + 100)), 1);
}

#[test]
fn a_quarantine_ends_when_too_few_crashes_count() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1_000, &["a"], 5);
    decide(&mut quarantine, 4_000);
    let end = 2_000 + KEPT_MS;
    let left = quarantine.quarantined_for(at(end - 10), &parts(&["a"])).unwrap();
    assert_eq!(left, Duration::from_millis(10));
    decide(&mut quarantine, end - 10);
    assert!(is_quarantined(&quarantine, end - 1, &["a"]));
    decide(&mut quarantine, end);
    assert!(!is_quarantined(&quarantine, end, &["a"]));
}

/// The clock of a daemon begins at zero when it starts.
#[test]
fn a_daemon_that_starts_later_decides_the_same_for_the_same_time() {
    let mut first = quarantine();
    report_crashes(&mut first, 100_000, &["a"], 5);
    decide(&mut first, 104_000);
    let mut second = quarantine();
    second.learn(at(25), &first.shared(at(104_000)));
    decide(&mut second, 25);
    let left = |quarantine: &PartQuarantine, ms| {
        quarantine.quarantined_for(at(ms), &parts(&["a"])).unwrap()
    };
    assert_eq!(left(&first, 104_000), left(&second, 25));
    assert_eq!(first.hash(), second.hash());
}

#[test]
fn daemons_follow_the_decisions_of_others_until_these_change() {
    let hub = "127.0.0.1:1".parse().unwrap();
    let mut deciding = quarantine();
    report_crashes(&mut deciding, 1_000, &["a"], 3);
    decide(&mut deciding, 4_000);
    let mut following = quarantine();
    let changes = following.adopt(at(50), hub, &deciding.decided(at(4_000)), false);
    assert_eq!(changes, [PartChange::Quarantined { parts: quarantined(&["a"]), crashes: 0 }]);
    assert!(is_quarantined(&following, 50, &["a"]));
    assert_eq!(following.quarantined_hash(at(50)), deciding.quarantined_hash(at(4_000)));
    assert_eq!(following.adopt(at(60), hub, &[], false).len(), 1);
    assert!(!is_quarantined(&following, 60, &["a"]));
    // What a daemon decided that no longer does so does not count.
    following.adopt(at(70), hub, &deciding.decided(at(4_000)), false);
    assert!(following.retain_deciders(at(80), &[hub]).is_empty());
    assert_eq!(following.retain_deciders(at(80), &[]).len(), 1);
    // Parts that no request lacks would refuse all.
    let none = QuarantinedParts { parts: Vec::new(), left_ms: 1_000 };
    following.adopt(at(90), hub, &[none], false);
    assert!(!is_quarantined(&following, 90, &["a"]));
}

#[test]
fn a_flood_of_crashes_is_bounded_and_keeps_what_shows_a_quarantine() {
    let mut quarantine = quarantine();
    report_crashes(&mut quarantine, 1_000, &["bad"], 3);
    decide(&mut quarantine, 4_000);
    for number in 0..3_000 {
        let names = [format!("a{}", number / 3), format!("b{number}")];
        let names: Vec<_> = names.iter().map(String::as_str).collect();
        let endpoint = format!("x{number}");
        quarantine.learn(at(4_001), &[crash(10_000 + number, &names, &endpoint)]);
    }
    decide(&mut quarantine, 4_002);
    assert!(is_quarantined(&quarantine, 4_002, &["bad"]));
    assert!(quarantine.shared(at(4_002)).len() <= 48);
}

proptest! {
    /// Messages may be lost, repeated or reordered: daemons that have received the same reports share the
    /// same crashes.
    #[test]
    fn daemons_that_received_the_same_crashes_share_the_same(
        heard in prop::collection::vec((0..4_u8, 0..5_u8, 0..4_u16), 0..40),
        order in any::<prop::sample::Index>(),
    ) {
        let crashes: Vec<_> = heard
            .iter()
            .map(|(part, endpoint, refuted)| PartCrash {
                refuted: *refuted,
                ..crash(u32::from(*part), &["a", &part.to_string()], &endpoint.to_string())
            })
            .collect();
        let (mut first, mut second) = (quarantine(), quarantine());
        first.learn(at(0), &crashes);
        for crash in support::redeliver(&crashes, order) {
            second.learn(at(0), std::slice::from_ref(crash));
        }
        first.refresh(at(0));
        second.refresh(at(0));
        prop_assert_eq!(first.hash(), second.hash());
    }

    /// A part that crashes endpoints is found among crashes for other reasons, and no part that is answered
    /// now and then is quarantined for good.
    #[test]
    fn a_harmful_part_is_found_among_other_crashes(
        gaps in prop::collection::vec(100..900_u64, 8..16),
        beside in prop::collection::vec(0..6_u32, 16),
        other in prop::collection::vec(0..4_000_u64, 0..4),
    ) {
        let mut quarantine = quarantine();
        let mut events: Vec<(u64, PartCrash)> = Vec::new();
        let mut ms = 1_000;
        for (number, gap) in (0..).zip(&gaps) {
            ms += gap;
            let endpoint = format!("h{number}");
            events.push((ms, crash(number, &["a", "bad"], &endpoint)));
            for index in 0..beside[number as usize % beside.len()] {
                let name = format!("s{}", (number + index) % 7);
                let request = 1_000 + number * 10 + index;
                events.push((ms, crash(request, &["a", &name], &endpoint)));
            }
        }
        for (number, moment) in (0..).zip(&other) {
            let name = format!("s{number}");
            let sound = crash(9_000 + number, &["a", &name], &format!("o{number}"));
            events.push((1_000 + moment, sound));
        }
        events.sort_by_key(|(ms, _)| *ms);
        let fifth = 1_000 + gaps.iter().take(5).sum::<u64>();
        let end = (fifth + 3_000).max(ms + 2_000);
        let (mut next, mut found_at) = (0, None);
        for now in (1_000..=end).step_by(50) {
            while next < events.len() && events[next].0 <= now {
                quarantine.learn(at(now), std::slice::from_ref(&events[next].1));
                next += 1;
            }
            // Sound requests are answered 1.2 s after they were sent, each 300 ms.
            if now % 300 == 0 && now >= 2_200 {
                let name = format!("s{}", now / 300 % 7);
                quarantine.record_survival(at(now), &parts(&["a", &name]), at(now - 1_200));
            }
            if now % 500 == 0 {
                decide(&mut quarantine, now);
            }
            if found_at.is_none() && is_quarantined(&quarantine, now, &["a", "bad"]) {
                found_at = Some(now);
            }
            prop_assert!(!is_quarantined(&quarantine, now, &["a"]), "common part at {now}");
        }
        prop_assert!(found_at.is_some_and(|found_at| found_at <= fifth + 2_500), "{found_at:?}");
    }
}
