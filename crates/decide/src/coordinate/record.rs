//! The steps before the dispatch: look-up, permit and record.

use std::time;

use trefoildyke_types::request;

use crate::coordinate::{
    Action, HeldPermit, Now, Phase, ReadOutcome, Reason, Recording, RequestState, Waiting,
    WriteOutcome,
};

impl RequestState {
    pub(super) fn looked_up(&mut self, now: Now, outcome: ReadOutcome) -> Vec<Action> {
        match (&self.phase, outcome) {
            (Phase::Waiting(Waiting::LookUp), ReadOutcome::Found(record)) => {
                self.resolve(now, record)
            }
            (Phase::Waiting(Waiting::LookUp), ReadOutcome::Absent) => self.ask(),
            (Phase::Waiting(Waiting::LookUp), ReadOutcome::Unavailable) => self.follow_issuer(),
            (Phase::Waiting(Waiting::ReadBack(_)), ReadOutcome::Found(record)) => {
                self.resolve(now, record)
            }
            (Phase::Waiting(Waiting::ReadBack(held)), ReadOutcome::Absent) => {
                let held = held.clone();
                self.record(held)
            }
            (Phase::Waiting(Waiting::ReadBack(_)), ReadOutcome::Unavailable) => {
                self.refuse_unrecorded()
            }
            _ => vec![],
        }
    }

    pub(super) fn permitted(&mut self, now: Now, permit: request::Permit) -> Vec<Action> {
        let expiry = now.monotonic + time::Duration::from_millis(permit.ttl_ms);
        let held = HeldPermit { permit, expiry };
        match (&self.phase, self.recording) {
            (Phase::Waiting(Waiting::Permit), Recording::Required) => self.record(held),
            (Phase::Waiting(Waiting::Permit), Recording::Unrecorded) | (Phase::Recorded, _) => {
                self.dispatch(held)
            }
            _ => vec![Action::ReturnPermit(held.permit)],
        }
    }

    pub(super) fn recorded(&mut self, now: Now, outcome: WriteOutcome) -> Vec<Action> {
        match &self.phase {
            Phase::Waiting(Waiting::Record(held)) => {
                let held = held.clone();
                match outcome {
                    WriteOutcome::Created => self.dispatch_recorded(now, held),
                    WriteOutcome::Exists(record) => self.resolve(now, record),
                    WriteOutcome::Unsure => self.read_back(held),
                    WriteOutcome::Unavailable => self.refuse_unrecorded(),
                }
            }
            Phase::Waiting(Waiting::Close(refusal)) => {
                let refusal = refusal.clone();
                self.closed(now, &outcome, refusal)
            }
            _ => vec![],
        }
    }

    fn record(&mut self, held: HeldPermit) -> Vec<Action> {
        let intent = request::Intent {
            coordinator: self.initial.own,
            nonce: self.initial.nonce,
            endpoint: held.permit.endpoint.clone(),
            fingerprint: self.initial.fingerprint,
        };
        self.phase = Phase::Waiting(Waiting::Record(held));
        vec![Action::Record(request::Record::Intent(intent))]
    }

    fn read_back(&mut self, held: HeldPermit) -> Vec<Action> {
        self.phase = Phase::Waiting(Waiting::ReadBack(held));
        vec![Action::ReadRecord]
    }

    /// Handles an existing record.
    ///
    /// Only the nonce tells whether this daemon or another one wrote the record.
    fn resolve(&mut self, now: Now, record: request::Record) -> Vec<Action> {
        let own = record.nonce() == self.initial.nonce;
        match (&self.phase, record) {
            (Phase::Waiting(Waiting::Record(held) | Waiting::ReadBack(held)), _) if own => {
                let held = held.clone();
                self.dispatch_recorded(now, held)
            }
            (_, request::Record::Intent(intent)) => self.follow(intent),
            (_, request::Record::Closed { .. }) => {
                let mut actions = self.release_permit();
                actions.extend(self.refuse(Reason::IdClosed.not_run()));
                actions
            }
        }
    }

    /// Dispatches the request after this daemon's own record was created.
    ///
    /// Records are deleted by the age of the identifier. A record created for an identifier that is
    /// older than the retention therefore does not prove that no other record existed before.
    fn dispatch_recorded(&mut self, now: Now, held: HeldPermit) -> Vec<Action> {
        if self.is_too_old(now) {
            let mut actions = self.release_permit();
            actions.extend(self.refuse(Reason::IdTooOld.unknown()));
            return actions;
        }
        if now.monotonic < held.expiry {
            return self.dispatch(held);
        }
        self.phase = Phase::Recorded;
        vec![Action::ReturnPermit(held.permit), Action::RequestPermit]
    }

    fn is_too_old(&self, now: Now) -> bool {
        let age_ms = now.unix_ms.saturating_sub(self.initial.key.id.created_ms());
        age_ms > self.initial.retention_ms
    }

    fn dispatch(&mut self, held: HeldPermit) -> Vec<Action> {
        let endpoint = held.permit.endpoint;
        self.phase = Phase::Dispatched { endpoint: endpoint.clone(), has_chunk: false };
        vec![Action::Dispatch(endpoint)]
    }

    fn ask(&mut self) -> Vec<Action> {
        self.phase = Phase::Waiting(Waiting::Permit);
        vec![Action::RequestPermit]
    }

    /// Follows the issuer of the identifier, or refuses the request if no other daemon issued it.
    ///
    /// While the record cannot be read, only the issuer can know whether the request was dispatched.
    fn follow_issuer(&mut self) -> Vec<Action> {
        match self.initial.key.id.issuer() {
            Some(issuer) if issuer != self.initial.own => {
                let offset = self.offset;
                self.phase = Phase::Following { coordinator: Some(issuer), endpoint: None };
                vec![Action::Attach { coordinator: issuer, offset }]
            }
            _ => self.refuse(Reason::NoProof.unknown()),
        }
    }

    /// Refuses a request whose intent cannot be recorded.
    ///
    /// The write may still take effect later. That is safe, because only this daemon could dispatch
    /// under its nonce, and this daemon no longer does.
    fn refuse_unrecorded(&mut self) -> Vec<Action> {
        let mut actions = self.release_permit();
        let refusal = match self.initial.maybe_retry {
            true => Reason::NoProof.unknown(),
            false => Reason::RecordUnavailable.not_run(),
        };
        actions.extend(self.refuse(refusal));
        actions
    }

    /// Refuses the request after the attempt to close its identifier.
    fn closed(
        &mut self,
        now: Now,
        outcome: &WriteOutcome,
        refusal: request::Refusal,
    ) -> Vec<Action> {
        if self.is_too_old(now) {
            return self.refuse(Reason::IdTooOld.unknown());
        }
        let own = match outcome {
            WriteOutcome::Created => true,
            WriteOutcome::Exists(record) => {
                record.nonce() == self.initial.nonce
                    || matches!(record, request::Record::Closed { .. })
            }
            WriteOutcome::Unsure | WriteOutcome::Unavailable => false,
        };
        match own {
            true => self.refuse(refusal),
            false => self.refuse(Reason::NoProof.unknown()),
        }
    }
}
