//! Tests of which requests a daemon accepts.

use trefoildyke_decide::coordinate::{self, Admission, Recording, ServiceState, admit};
use trefoildyke_types::{id, request};

use super::fixture::{self, NOW_MS, RETENTION_MS};

const OUTAGE: ServiceState = ServiceState::Down { since_ms: NOW_MS - 1_000 };

fn describe(result: Result<Admission, request::Refusal>) -> String {
    match result {
        Ok(admission) => format!("{admission:?}"),
        Err(refusal) => format!("{:?} {}", refusal.kind, refusal.reason),
    }
}

#[test]
fn a_non_idempotent_request_needs_an_id() {
    let arrival = coordinate::Arrival { idempotent: false, ..fixture::arrival(None) };
    assert_eq!(describe(admit(&arrival, &fixture::conditions())), "Invalid id_required");
}

#[test]
fn an_id_too_old_or_from_the_future_is_refused() {
    let old = fixture::arrival(Some(fixture::chosen(NOW_MS - RETENTION_MS - 1)));
    let future = fixture::arrival(Some(fixture::chosen(NOW_MS + 5_001)));
    assert_eq!(describe(admit(&old, &fixture::conditions())), "OutcomeUnknown id_too_old");
    assert_eq!(describe(admit(&future, &fixture::conditions())), "Invalid id_from_future");
}

#[test]
fn a_local_request_with_the_same_id_is_joined_only_if_the_body_matches() {
    let arrival = fixture::arrival(Some(fixture::chosen(NOW_MS)));
    let local = |fingerprint| coordinate::Conditions {
        local: Some(coordinate::LocalRequest { fingerprint }),
        ..fixture::conditions()
    };
    assert_eq!(admit(&arrival, &local(9)), Ok(Admission::Attach));
    assert_eq!(describe(admit(&arrival, &local(8))), "Invalid id_reused");
}

#[test]
fn in_an_outage_only_requests_without_an_id_start() {
    let down = coordinate::Conditions { service: OUTAGE, ..fixture::conditions() };
    let chosen = fixture::arrival(Some(fixture::chosen(NOW_MS)));
    let non_idempotent = coordinate::Arrival { idempotent: false, ..chosen };
    let retry = coordinate::Arrival { attempt: 2, ..chosen };
    let older = fixture::arrival(Some(fixture::chosen(NOW_MS - 1_001)));
    assert_eq!(admit(&fixture::arrival(None), &down), Ok(Admission::Issue(Recording::Unrecorded)));
    assert_eq!(describe(admit(&chosen, &down)), "NotRun record_unavailable");
    assert_eq!(describe(admit(&non_idempotent, &down)), "NotRun record_unavailable");
    assert_eq!(describe(admit(&retry, &down)), "OutcomeUnknown no_proof");
    assert_eq!(describe(admit(&older, &down)), "OutcomeUnknown no_proof");
}

#[test]
fn the_first_attempts_policy_starts_idempotent_first_attempts() {
    let down = coordinate::Conditions {
        service: OUTAGE,
        policy: coordinate::OutagePolicy::FirstAttempts,
        ..fixture::conditions()
    };
    let chosen = fixture::arrival(Some(fixture::chosen(NOW_MS)));
    let non_idempotent = coordinate::Arrival { idempotent: false, ..chosen };
    let retry = coordinate::Arrival { attempt: 2, ..chosen };
    assert_eq!(admit(&chosen, &down), Ok(Admission::Start(Recording::Unrecorded)));
    assert_eq!(describe(admit(&non_idempotent, &down)), "NotRun record_unavailable");
    assert_eq!(describe(admit(&retry, &down)), "OutcomeUnknown no_proof");
}

#[test]
fn an_id_issued_elsewhere_is_looked_up_or_followed() {
    let issued = id::RequestId::issued(fixture::uuid(NOW_MS), fixture::other());
    let unrecorded = id::RequestId::unrecorded(fixture::uuid(NOW_MS), fixture::other());
    let down = coordinate::Conditions { service: OUTAGE, ..fixture::conditions() };
    let follow = Ok(Admission::Follow(fixture::other()));
    let up = fixture::conditions();
    assert_eq!(admit(&fixture::arrival(Some(issued)), &up), Ok(Admission::LookUp));
    assert_eq!(admit(&fixture::arrival(Some(issued)), &down), follow);
    assert_eq!(admit(&fixture::arrival(Some(unrecorded)), &up), follow);
}

#[test]
fn an_isolated_daemon_accepts_no_new_work() {
    let isolated = coordinate::Conditions { isolated: true, ..fixture::conditions() };
    let chosen = fixture::arrival(Some(fixture::chosen(NOW_MS)));
    let retry = coordinate::Arrival { attempt: 2, ..chosen };
    assert_eq!(describe(admit(&fixture::arrival(None), &isolated)), "NotRun isolated");
    assert_eq!(describe(admit(&chosen, &isolated)), "NotRun isolated");
    assert_eq!(describe(admit(&retry, &isolated)), "OutcomeUnknown isolated");
}
