//! The state machine of one request at a daemon.

use trefoildyke_types::{id, request, time};

use crate::coordinate::{Action, Admission, Input, Now, Phase, Reason, Recording, Waiting};

/// The initial values of a request's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InitialState {
    /// The request's key.
    pub key: id::RequestKey,
    /// The fingerprint of the request body.
    pub fingerprint: u64,
    /// This daemon's incarnation.
    pub own: id::Incarnation,
    /// A random number drawn for this request at this daemon, stored in every record that it writes.
    pub nonce: id::Nonce,
    /// Whether the request may be a retry: the caller marked it as one, or a daemon issued its identifier
    /// before.
    pub maybe_retry: bool,
    /// Whether the endpoint can resume a stream.
    pub resumable: bool,
    /// The first output offset that the caller has not received yet, in tokens.
    pub offset: u64,
    /// How long after its creation an identifier can be used, in milliseconds.
    pub retention_ms: u64,
}

/// The state of one request at one daemon, from its admission to its final answer.
///
/// Invariants:
///
/// - [`Action::Dispatch`] is returned only while the daemon's own record exists or no record is
///   required. It is returned again only after [`Input::ConnectFailed`], which guarantees that
///   nothing was sent.
/// - A `not_run` refusal of a possible retry is returned only if a record excludes a dispatch by any
///   other daemon (this daemon's own record or a `Closed` record), if no record is required, or if the
///   refusal is from the followed coordinator and no other daemon may dispatch.
/// - Once [`Self::is_final`] holds, the only action returned is [`Action::ReturnPermit`] for a late permit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestState {
    pub(super) initial: InitialState,
    pub(super) recording: Recording,
    pub(super) offset: u64,
    pub(super) phase: Phase,
}

impl RequestState {
    /// Starts a request as [`admit`](crate::coordinate::admit) decided; returns the first actions.
    ///
    /// For [`Admission::Attach`] call [`Self::join`] on the existing request instead.
    pub fn start(initial: InitialState, admission: Admission) -> (Self, Vec<Action>) {
        let (recording, phase, action) = match admission {
            Admission::Issue(recording) | Admission::Start(recording) => {
                (recording, Phase::Waiting(Waiting::Permit), Action::RequestPermit)
            }
            Admission::LookUp | Admission::Attach => {
                (Recording::Required, Phase::Waiting(Waiting::LookUp), Action::ReadRecord)
            }
            Admission::Follow(coordinator) => (
                Recording::Required,
                Phase::Following { coordinator: Some(coordinator), endpoint: None },
                Action::Attach { coordinator, offset: initial.offset },
            ),
        };
        let offset = initial.offset;
        (Self { initial, recording, offset, phase }, vec![action])
    }

    /// Returns the phase of the request.
    pub const fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the request's key.
    pub const fn key(&self) -> &id::RequestKey {
        &self.initial.key
    }

    /// Returns the fingerprint of the request's body.
    pub const fn fingerprint(&self) -> u64 {
        self.initial.fingerprint
    }

    /// Returns the nonce of the records that the request writes.
    pub const fn nonce(&self) -> id::Nonce {
        self.initial.nonce
    }

    /// Registers that a caller joined; if `maybe_retry`, other daemons may know the identifier too.
    ///
    /// The argument on [`Admission::Attach`] is
    /// [`Arrival::may_be_retry`](crate::coordinate::Arrival::may_be_retry).
    pub const fn join(&mut self, maybe_retry: bool) {
        self.initial.maybe_retry |= maybe_retry;
    }

    /// Returns whether other daemons may know the identifier too.
    pub const fn is_maybe_retry(&self) -> bool {
        self.initial.maybe_retry
    }

    /// Returns the output offset, in tokens, up to which the answer has been received in order.
    pub const fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns whether the request has reached a final phase at this daemon.
    pub const fn is_final(&self) -> bool {
        matches!(self.phase, Phase::Answered | Phase::Refused(_) | Phase::Abandoned)
    }

    /// Handles an event and returns the actions to carry out, in order.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Action> {
        if self.is_final() {
            return return_late_permit(input);
        }
        match input {
            Input::LookedUp(outcome) => self.looked_up(now, outcome),
            Input::Permit(permit) => self.permitted(now, permit),
            Input::UnusablePermit(permit) => self.return_permit(permit),
            Input::Shed(refusal) => self.shed(refusal),
            Input::Recorded(outcome) => self.recorded(now, outcome),
            Input::ConnectFailed => self.connect_failed(),
            Input::Chunk(chunk) => self.chunk(chunk),
            Input::EndpointFailed(refusal) => self.endpoint_failed(refusal),
            Input::StreamLost => self.stream_lost(),
            Input::ResumeFailed => self.resume_failed(),
            Input::AttachFailed => self.attach_failed(),
            Input::Refused(refusal) => self.coordinator_refused(refusal),
            Input::DeadlinePassed => self.abort(Reason::Deadline),
            Input::CallerGone => self.caller_gone(),
            Input::Stop => self.abort_undispatched(Reason::Stopping),
            Input::Isolated => self.abort_undispatched(Reason::Isolated),
            Input::Paused | Input::EndpointLeaving => self.expire_permit(),
        }
    }

    /// Refuses a request that was not dispatched or whose answer does not arrive in time.
    pub(super) fn abort(&mut self, reason: Reason) -> Vec<Action> {
        match &self.phase {
            Phase::Waiting(Waiting::Close(_)) => vec![],
            Phase::Waiting(_) => self.close_and_refuse(reason.not_run()),
            Phase::Recorded => self.withdraw_and_refuse(reason.not_run()),
            Phase::Dispatched { endpoint, .. } => {
                let cancel = Action::Cancel(endpoint.clone());
                let mut actions = vec![cancel];
                actions.extend(self.refuse(reason.unknown()));
                actions
            }
            Phase::Following { .. } => self.refuse(reason.unknown()),
            Phase::Answered | Phase::Refused(_) | Phase::Abandoned => vec![],
        }
    }

    /// Refuses a waiting request; the identifier of a possible retry is closed first.
    pub(super) fn close_and_refuse(&mut self, refusal: request::Refusal) -> Vec<Action> {
        let mut actions = self.release_permit();
        if !self.initial.maybe_retry {
            actions.extend(self.refuse(refusal));
            return actions;
        }
        self.phase = Phase::Waiting(Waiting::Close(refusal));
        actions.push(Action::Record(request::Record::Closed { nonce: self.initial.nonce }));
        actions
    }

    fn withdraw_and_refuse(&mut self, refusal: request::Refusal) -> Vec<Action> {
        let mut actions = self.release_permit();
        actions.extend(self.refuse(refusal));
        actions
    }

    /// Moves to the final refusal and returns the action that sends it.
    pub(super) fn refuse(&mut self, refusal: request::Refusal) -> Vec<Action> {
        self.phase = Phase::Refused(refusal.kind);
        vec![Action::Refuse(refusal)]
    }

    /// Returns the actions that give up the permit which is held or requested.
    pub(super) fn release_permit(&self) -> Vec<Action> {
        match &self.phase {
            Phase::Waiting(Waiting::Permit) | Phase::Recorded => vec![Action::Withdraw],
            Phase::Waiting(Waiting::Record(held) | Waiting::ReadBack(held)) => {
                vec![Action::ReturnPermit(held.permit.clone())]
            }
            _ => vec![],
        }
    }

    fn shed(&mut self, refusal: request::Refusal) -> Vec<Action> {
        match self.phase {
            Phase::Waiting(Waiting::Permit) => {
                let mut actions = self.close_and_refuse(refusal);
                actions.retain(|action| *action != Action::Withdraw);
                actions
            }
            Phase::Recorded => self.refuse(refusal),
            _ => vec![],
        }
    }

    fn caller_gone(&mut self) -> Vec<Action> {
        match self.phase {
            Phase::Waiting(Waiting::LookUp | Waiting::Permit) => {
                let actions = self.release_permit();
                self.phase = Phase::Abandoned;
                actions
            }
            _ => vec![],
        }
    }

    /// Refuses a request that was not dispatched and that this daemon can no longer dispatch.
    fn abort_undispatched(&mut self, reason: Reason) -> Vec<Action> {
        match self.phase {
            Phase::Waiting(_) | Phase::Recorded => self.abort(reason),
            _ => vec![],
        }
    }

    /// Returns an unusable permit and asks for another one if the request still needs it.
    fn return_permit(&mut self, permit: request::Permit) -> Vec<Action> {
        let mut actions = vec![Action::ReturnPermit(permit)];
        if matches!(self.phase, Phase::Waiting(Waiting::Permit) | Phase::Recorded) {
            actions.push(Action::RequestPermit);
        }
        actions
    }

    /// Marks the held permit as expired, so that the request asks for another one.
    fn expire_permit(&mut self) -> Vec<Action> {
        if let Phase::Waiting(Waiting::Record(held) | Waiting::ReadBack(held)) = &mut self.phase {
            held.expiry = time::Timestamp::ZERO;
        }
        vec![]
    }
}

/// Returns a permit that arrives after the end of the request; ignores every other event.
fn return_late_permit(input: Input) -> Vec<Action> {
    match input {
        Input::Permit(permit) | Input::UnusablePermit(permit) => vec![Action::ReturnPermit(permit)],
        _ => vec![],
    }
}
