//! The one type that holds a request at a daemon, and the one function that moves it.

use trefoildyke_types::{id, request, time};

use crate::coordinate::{Action, Admission, Input, Now, Phase, Reason, Recording, Waiting};

/// Holds what a request starts with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Opening {
    /// The request.
    pub key: id::RequestKey,
    /// The fingerprint of its body.
    pub fingerprint: u64,
    /// This daemon's incarnation.
    pub own: id::Incarnation,
    /// A random mark, drawn for this request at this daemon and used for every record it writes.
    pub nonce: id::Nonce,
    /// Whether the caller marked the request as a retry or the identifier came back to be issued.
    pub second: bool,
    /// Whether the endpoint can be asked for a stream again.
    pub resumable: bool,
    /// The first output offset that the caller has not got yet.
    pub offset: u64,
    /// How long after its creation an identifier can be used, in milliseconds.
    pub retention_ms: u64,
}

/// Holds one request at one daemon, from its admission to its final answer.
///
/// Invariants: [`Action::Dispatch`] is returned only while the daemon's own record stands or none
/// is required, and again only after [`Input::ConnectFailed`], which promises that nothing was
/// sent. A `not_run` refusal of a possible second attempt is returned only after the daemon's own
/// record stands. Once [`Self::is_final`] no action is returned but the handing
/// back of a late permit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestState {
    pub(super) opening: Opening,
    pub(super) recording: Recording,
    pub(super) offset: u64,
    pub(super) phase: Phase,
}

impl RequestState {
    /// Starts a request as [`admit`](crate::coordinate::admit) decided; returns what to do first.
    ///
    /// [`Admission::Attach`] starts no request: the caller joins the one that is there.
    pub fn start(opening: Opening, admission: Admission) -> (Self, Vec<Action>) {
        let (recording, phase, action) = match admission {
            Admission::Issue(recording) | Admission::Start(recording) => {
                (recording, Phase::Waiting(Waiting::Permit), Action::Ask)
            }
            Admission::LookUp | Admission::Attach => {
                (Recording::Required, Phase::Waiting(Waiting::LookUp), Action::LookUp)
            }
            Admission::Follow(coordinator) => (
                Recording::Required,
                Phase::Following { coordinator: Some(coordinator), endpoint: None },
                Action::Attach { coordinator, offset: opening.offset },
            ),
        };
        let offset = opening.offset;
        (Self { opening, recording, offset, phase }, vec![action])
    }

    /// Returns the phase.
    pub const fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the request's key.
    pub const fn key(&self) -> &id::RequestKey {
        &self.opening.key
    }

    /// Returns the fingerprint of the request's body.
    pub const fn fingerprint(&self) -> u64 {
        self.opening.fingerprint
    }

    /// Returns the mark of the records that the request writes.
    pub const fn nonce(&self) -> id::Nonce {
        self.opening.nonce
    }

    /// Takes note that a caller joined; if `second`, other daemons may know the identifier too.
    ///
    /// Called on [`Admission::Attach`] with
    /// [`Arrival::may_be_second`](crate::coordinate::Arrival::may_be_second).
    pub const fn join(&mut self, second: bool) {
        self.opening.second |= second;
    }

    /// Returns whether other daemons may know the identifier too.
    pub const fn is_second(&self) -> bool {
        self.opening.second
    }

    /// Returns the number of tokens that have been received in order.
    pub const fn offset(&self) -> u64 {
        self.offset
    }

    /// Returns whether nothing more happens to the request here.
    pub const fn is_final(&self) -> bool {
        matches!(self.phase, Phase::Answered | Phase::Refused(_) | Phase::Abandoned)
    }

    /// Moves the request by what happened; returns what to do, in order.
    pub fn step(&mut self, now: Now, input: Input) -> Vec<Action> {
        if self.is_final() {
            return hand_back(input);
        }
        match input {
            Input::LookedUp(outcome) => self.looked_up(now, outcome),
            Input::Permit(permit) => self.permitted(now, permit),
            Input::UnusablePermit(permit) => self.refuse_permit(permit),
            Input::Shed(refusal) => self.shed(refusal),
            Input::Recorded(outcome) => self.recorded(now, outcome),
            Input::ConnectFailed => self.connect_failed(),
            Input::Chunk(chunk) => self.chunk(chunk),
            Input::EndpointFailed(refusal) => self.endpoint_failed(refusal),
            Input::StreamLost => self.stream_lost(),
            Input::ResumeFailed => self.resume_failed(),
            Input::AttachFailed => self.attach_failed(),
            Input::Refused(refusal) => self.coordinator_refused(refusal),
            Input::DeadlinePassed => self.give_up(Reason::Deadline),
            Input::CallerGone => self.caller_gone(),
            Input::Stop => self.stop_waiting(Reason::Stopping),
            Input::Isolated => self.stop_waiting(Reason::Isolated),
            Input::Paused | Input::EndpointLeaving => self.void_permit(),
        }
    }

    /// Ends a request that was not dispatched, or whose answer does not come in time.
    pub(super) fn give_up(&mut self, reason: Reason) -> Vec<Action> {
        match &self.phase {
            Phase::Waiting(Waiting::Close(_)) => vec![],
            Phase::Waiting(_) => self.refuse_waiting(reason.not_run()),
            Phase::Recorded => self.refuse_withdrawn(reason.not_run()),
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

    /// Refuses a request that waits; a possible second attempt is closed first.
    pub(super) fn refuse_waiting(&mut self, refusal: request::Refusal) -> Vec<Action> {
        let mut actions = self.let_go();
        if !self.opening.second {
            actions.extend(self.refuse(refusal));
            return actions;
        }
        self.phase = Phase::Waiting(Waiting::Close(refusal));
        actions.push(Action::Record(request::Record::Closed { nonce: self.opening.nonce }));
        actions
    }

    fn refuse_withdrawn(&mut self, refusal: request::Refusal) -> Vec<Action> {
        let mut actions = self.let_go();
        actions.extend(self.refuse(refusal));
        actions
    }

    /// Gives the final refusal.
    pub(super) fn refuse(&mut self, refusal: request::Refusal) -> Vec<Action> {
        self.phase = Phase::Refused(refusal.kind);
        vec![Action::Refuse(refusal)]
    }

    /// Gives up the permit that is held or asked for.
    pub(super) fn let_go(&self) -> Vec<Action> {
        match &self.phase {
            Phase::Waiting(Waiting::Permit) | Phase::Recorded => vec![Action::Withdraw],
            Phase::Waiting(Waiting::Record(held) | Waiting::ReadBack(held)) => {
                vec![Action::HandBack(held.permit.clone())]
            }
            _ => vec![],
        }
    }

    fn shed(&mut self, refusal: request::Refusal) -> Vec<Action> {
        match self.phase {
            Phase::Waiting(Waiting::Permit) => {
                let mut actions = self.refuse_waiting(refusal);
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
                let actions = self.let_go();
                self.phase = Phase::Abandoned;
                actions
            }
            _ => vec![],
        }
    }

    /// Ends a request that was not dispatched and that this daemon can no longer dispatch.
    fn stop_waiting(&mut self, reason: Reason) -> Vec<Action> {
        match self.phase {
            Phase::Waiting(_) | Phase::Recorded => self.give_up(reason),
            _ => vec![],
        }
    }

    /// Gives a permit back unused and asks for another.
    fn refuse_permit(&mut self, permit: request::Permit) -> Vec<Action> {
        let mut actions = vec![Action::HandBack(permit)];
        if matches!(self.phase, Phase::Waiting(Waiting::Permit) | Phase::Recorded) {
            actions.push(Action::Ask);
        }
        actions
    }

    /// Lets the permit that is held count as expired, so that another is asked for.
    fn void_permit(&mut self) -> Vec<Action> {
        if let Phase::Waiting(Waiting::Record(held) | Waiting::ReadBack(held)) = &mut self.phase {
            held.until = time::Timestamp::ZERO;
        }
        vec![]
    }
}

/// A permit that comes after the end is given back; everything else comes too late.
fn hand_back(input: Input) -> Vec<Action> {
    match input {
        Input::Permit(permit) | Input::UnusablePermit(permit) => vec![Action::HandBack(permit)],
        _ => vec![],
    }
}
