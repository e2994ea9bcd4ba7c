//! Tests of the state machine of one request.

use trefoildyke_decide::coordinate::{
    Action, Admission, Input, Phase, ReadOutcome, Reason, Recording, RequestState, WriteOutcome,
};
use trefoildyke_types::{id, request, time};

use super::fixture::{self, NOW_MS, RETENTION_MS};

fn start(maybe_retry: bool) -> RequestState {
    let initial = fixture::initial_state(fixture::chosen(NOW_MS), maybe_retry);
    let admission = Admission::Start(Recording::Required);
    let (state, actions) = RequestState::start(initial, admission);
    assert_eq!(actions, [Action::RequestPermit]);
    state
}

fn step(state: &mut RequestState, input: Input) -> Vec<Action> {
    state.step(fixture::now(0), input)
}

fn recording(maybe_retry: bool) -> RequestState {
    let mut state = start(maybe_retry);
    let actions = step(&mut state, Input::Permit(fixture::permit("e1")));
    assert_eq!(actions, [Action::Record(fixture::intent(fixture::own(), fixture::NONCE.0))]);
    state
}

fn dispatched() -> RequestState {
    let mut state = recording(false);
    let actions = step(&mut state, Input::Recorded(WriteOutcome::Created));
    assert_eq!(actions, [Action::Dispatch("e1".into())]);
    state
}

fn chunk(offset: u64, count: usize, finish: Option<request::Finish>) -> request::Chunk {
    let tokens = vec!["t".to_owned(); count];
    request::Chunk { id: fixture::chosen(NOW_MS), offset, tokens, finish }
}

#[test]
fn the_nonce_decides_who_wrote_a_record_after_a_lost_answer() {
    for (nonce, own) in [(fixture::NONCE.0, true), (8, false)] {
        let mut state = recording(false);
        assert_eq!(step(&mut state, Input::Recorded(WriteOutcome::Unsure)), [Action::ReadRecord]);
        let record = fixture::intent(if own { fixture::own() } else { fixture::other() }, nonce);
        let actions = step(&mut state, Input::LookedUp(ReadOutcome::Found(record)));
        assert_eq!(actions.contains(&Action::Dispatch("e1".into())), own);
        assert_eq!(matches!(state.phase(), Phase::Following { .. }), !own);
    }
}

#[test]
fn a_retry_is_closed_before_it_is_refused_as_not_run() {
    let mut state = start(true);
    let shed = request::Refusal::new(request::RefusalKind::NotRun, "shed", "later");
    let closing = Action::Record(request::Record::Closed { nonce: fixture::NONCE });
    assert_eq!(step(&mut state, Input::Shed(shed.clone())), [closing]);
    let mut conflicting = state.clone();
    let created = step(&mut state, Input::Recorded(WriteOutcome::Created));
    assert_eq!(created, [Action::Refuse(shed)]);
    let exists = WriteOutcome::Exists(fixture::intent(fixture::other(), 8));
    let refused = step(&mut conflicting, Input::Recorded(exists));
    assert_eq!(refused, [Action::Refuse(Reason::NoProof.unknown())]);
}

#[test]
fn an_expired_permit_is_handed_back_and_another_is_asked_for() {
    let mut state = recording(false);
    let actions = state.step(fixture::now(100), Input::Recorded(WriteOutcome::Created));
    assert_eq!(actions, [Action::ReturnPermit(fixture::permit("e1")), Action::RequestPermit]);
    let actions = step(&mut state, Input::Permit(fixture::permit("e2")));
    assert_eq!(actions, [Action::Dispatch("e2".into())]);
}

#[test]
fn a_pause_or_a_leaving_endpoint_expires_the_permit() {
    for input in [Input::Paused, Input::EndpointLeaving] {
        let mut state = recording(false);
        assert_eq!(step(&mut state, input), []);
        let actions = step(&mut state, Input::Recorded(WriteOutcome::Created));
        assert_eq!(actions, [Action::ReturnPermit(fixture::permit("e1")), Action::RequestPermit]);
    }
}

#[test]
fn an_unusable_permit_is_handed_back() {
    let mut state = start(false);
    let returned = Action::ReturnPermit(fixture::permit("e1"));
    let actions = step(&mut state, Input::UnusablePermit(fixture::permit("e1")));
    assert_eq!(actions, [returned.clone(), Action::RequestPermit]);
    let mut state = dispatched();
    let actions = step(&mut state, Input::UnusablePermit(fixture::permit("e1")));
    assert_eq!(actions, [returned]);
}

#[test]
fn a_record_created_after_the_retention_is_not_trusted() {
    let mut state = recording(false);
    let mut now = fixture::now(0);
    now.unix_ms = NOW_MS + RETENTION_MS + 1;
    let actions = state.step(now, Input::Recorded(WriteOutcome::Created));
    let unknown = Action::Refuse(Reason::IdTooOld.unknown());
    assert_eq!(actions.last(), Some(&unknown));
    let mut closing = start(true);
    step(&mut closing, Input::DeadlinePassed);
    let actions = closing.step(now, Input::Recorded(WriteOutcome::Created));
    assert_eq!(actions, [unknown]);
}

#[test]
fn a_late_permit_is_handed_back() {
    let mut state = dispatched();
    let actions = step(&mut state, Input::Permit(fixture::permit("e2")));
    assert_eq!(actions, [Action::ReturnPermit(fixture::permit("e2"))]);
    step(&mut state, Input::DeadlinePassed);
    let actions = step(&mut state, Input::Permit(fixture::permit("e2")));
    assert_eq!(actions, [Action::ReturnPermit(fixture::permit("e2"))]);
}

#[test]
fn not_run_of_a_coordinator_is_passed_on_only_if_no_other_daemon_may_dispatch() {
    let shed = request::Refusal::new(request::RefusalKind::NotRun, "shed", "later");
    let uuid = fixture::uuid(NOW_MS);
    let issued = id::RequestId::issued(uuid, fixture::other());
    let unrecorded = id::RequestId::unrecorded(uuid, fixture::other());
    let closing = Action::Record(request::Record::Closed { nonce: fixture::NONCE });
    for (id, action) in [(issued, closing), (unrecorded, Action::Refuse(shed.clone()))] {
        let admission = Admission::Follow(fixture::other());
        let (mut state, _) = RequestState::start(fixture::initial_state(id, true), admission);
        assert_eq!(step(&mut state, Input::Refused(shed.clone())), [action]);
    }
}

#[test]
fn a_request_is_abandoned_if_its_caller_leaves_before_the_dispatch() {
    let mut state = start(false);
    assert_eq!(step(&mut state, Input::CallerGone), [Action::Withdraw]);
    assert_eq!(*state.phase(), Phase::Abandoned);
}

#[test]
fn a_chunk_of_another_request_or_after_a_gap_resumes_the_stream() {
    let mut state = dispatched();
    let resume = |offset| [Action::Resume { endpoint: "e1".into(), offset }];
    assert_eq!(step(&mut state, Input::Chunk(chunk(0, 2, None))).len(), 1);
    let foreign = request::Chunk { id: fixture::chosen(NOW_MS - 1), ..chunk(2, 1, None) };
    assert_eq!(step(&mut state, Input::Chunk(foreign)), resume(2));
    assert_eq!(step(&mut state, Input::Chunk(chunk(3, 1, None))), resume(2));
    assert_eq!(step(&mut state, Input::StreamLost), resume(2));
    let last = chunk(1, 3, Some(request::Finish::Whole));
    let delivered = chunk(2, 2, Some(request::Finish::Whole));
    assert_eq!(step(&mut state, Input::Chunk(last)), [Action::Deliver(delivered)]);
    assert_eq!(*state.phase(), Phase::Answered);
}

#[test]
fn a_dispatched_request_is_never_refused_as_not_run() {
    for input in [Input::DeadlinePassed, Input::ResumeFailed] {
        let mut state = dispatched();
        let actions = step(&mut state, input);
        let Some(Action::Refuse(refusal)) = actions.last() else { panic!("{actions:?}") };
        assert_eq!(refusal.kind, request::RefusalKind::OutcomeUnknown);
    }
    let mut state = dispatched();
    assert_eq!(step(&mut state, Input::Stop), []);
    assert_eq!(step(&mut state, Input::Isolated), []);
    assert_eq!(step(&mut state, Input::CallerGone), []);
}

#[test]
fn a_waiting_request_is_refused_when_the_daemon_is_isolated() {
    let initial = fixture::initial_state(fixture::chosen(NOW_MS), false);
    let admission = Admission::Start(Recording::Required);
    let (mut state, actions) = RequestState::start(initial, admission);
    assert_eq!(actions, [Action::RequestPermit]);
    let permit = fixture::permit("e1");
    let actions = step(&mut state, Input::UnusablePermit(permit.clone()));
    assert_eq!(actions, [Action::ReturnPermit(permit), Action::RequestPermit]);
    let refusal = Reason::Isolated.not_run();
    assert!(refusal.retry_after_ms.is_some());
    let actions = step(&mut state, Input::Isolated);
    assert_eq!(actions, [Action::Withdraw, Action::Refuse(refusal)]);
}

#[test]
fn a_failed_connection_leads_to_another_endpoint() {
    let mut state = dispatched();
    assert_eq!(step(&mut state, Input::ConnectFailed), [Action::RequestPermit]);
    let actions = step(&mut state, Input::Permit(fixture::permit("e2")));
    assert_eq!(actions, [Action::Dispatch("e2".into())]);
    step(&mut state, Input::Chunk(chunk(0, 1, None)));
    assert_eq!(step(&mut state, Input::ConnectFailed), []);
}

#[test]
fn another_body_under_a_recorded_id_is_invalid() {
    let initial = initial_state_with_fingerprint(10);
    let (mut state, actions) = RequestState::start(initial, Admission::LookUp);
    assert_eq!(actions, [Action::ReadRecord]);
    let found = ReadOutcome::Found(fixture::intent(fixture::other(), 8));
    let actions = step(&mut state, Input::LookedUp(found));
    assert_eq!(actions, [Action::Refuse(Reason::IdReused.invalid())]);
}

fn initial_state_with_fingerprint(
    fingerprint: u64,
) -> trefoildyke_decide::coordinate::InitialState {
    let initial = fixture::initial_state(fixture::chosen(NOW_MS), true);
    trefoildyke_decide::coordinate::InitialState { fingerprint, ..initial }
}

#[test]
fn a_follower_falls_back_from_the_coordinator_to_the_endpoint() {
    let initial = fixture::initial_state(fixture::chosen(NOW_MS), true);
    let (mut state, _) = RequestState::start(initial, Admission::LookUp);
    let found = ReadOutcome::Found(fixture::intent(fixture::other(), 8));
    let attach = Action::Attach { coordinator: fixture::other(), offset: 0 };
    assert_eq!(step(&mut state, Input::LookedUp(found)), [attach]);
    let resume = Action::Resume { endpoint: "e1".into(), offset: 0 };
    assert_eq!(step(&mut state, Input::AttachFailed), [resume]);
    let unknown = Action::Refuse(Reason::AnswerLost.unknown());
    assert_eq!(step(&mut state, Input::ResumeFailed), [unknown]);
}

#[test]
fn only_the_issuer_can_answer_for_an_unrecorded_id() {
    let id = id::RequestId::unrecorded(fixture::uuid(NOW_MS), fixture::other());
    let admission = Admission::Follow(fixture::other());
    let (mut state, actions) = RequestState::start(fixture::initial_state(id, true), admission);
    assert_eq!(actions, [Action::Attach { coordinator: fixture::other(), offset: 0 }]);
    let unknown = Action::Refuse(Reason::AnswerLost.unknown());
    assert_eq!(step(&mut state, Input::AttachFailed), [unknown]);
}

#[test]
fn the_life_of_a_permit_starts_at_its_receipt() {
    let mut state = start(false);
    let later = time::Timestamp::from_millis(500);
    let now = trefoildyke_decide::coordinate::Now { monotonic: later, unix_ms: NOW_MS };
    state.step(now, Input::Permit(fixture::permit("e1")));
    let now = trefoildyke_decide::coordinate::Now { monotonic: later, unix_ms: NOW_MS };
    let actions = state.step(now, Input::Recorded(WriteOutcome::Created));
    assert_eq!(actions, [Action::Dispatch("e1".into())]);
}
