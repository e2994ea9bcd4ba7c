//! The steps up to the dispatch: look-up, permit and record.

use std::time;

use trefoildyke_types::request;

use crate::coordinate::{
    Action, Held, LookUp, Now, Phase, Reason, RecordOutcome, Recording, RequestState, Waiting,
};

impl RequestState {
    pub(super) fn looked_up(&mut self, now: Now, outcome: LookUp) -> Vec<Action> {
        match (&self.phase, outcome) {
            (Phase::Waiting(Waiting::LookUp), LookUp::Found(record)) => self.found(now, record),
            (Phase::Waiting(Waiting::LookUp), LookUp::Absent) => self.ask(),
            (Phase::Waiting(Waiting::LookUp), LookUp::Unavailable) => self.no_proof(),
            (Phase::Waiting(Waiting::ReadBack(_)), LookUp::Found(record)) => {
                self.found(now, record)
            }
            (Phase::Waiting(Waiting::ReadBack(held)), LookUp::Absent) => {
                let held = held.clone();
                self.record(held)
            }
            (Phase::Waiting(Waiting::ReadBack(_)), LookUp::Unavailable) => self.not_recorded(),
            _ => vec![],
        }
    }

    pub(super) fn permitted(&mut self, now: Now, permit: request::Permit) -> Vec<Action> {
        let until = now.mono + time::Duration::from_millis(permit.ttl_ms);
        let held = Held { permit, until };
        match (&self.phase, self.recording) {
            (Phase::Waiting(Waiting::Permit), Recording::Required) => self.record(held),
            (Phase::Waiting(Waiting::Permit), Recording::Unrecorded) | (Phase::Recorded, _) => {
                self.dispatch(held)
            }
            _ => vec![Action::HandBack(held.permit)],
        }
    }

    pub(super) fn recorded(&mut self, now: Now, outcome: RecordOutcome) -> Vec<Action> {
        match &self.phase {
            Phase::Waiting(Waiting::Record(held)) => {
                let held = held.clone();
                match outcome {
                    RecordOutcome::Created => self.own_record(now, held),
                    RecordOutcome::Exists(record) => self.found(now, record),
                    RecordOutcome::Unsure => self.read_back(held),
                    RecordOutcome::Unavailable => self.not_recorded(),
                }
            }
            Phase::Waiting(Waiting::Close(refusal)) => {
                let refusal = refusal.clone();
                self.closed(now, &outcome, refusal)
            }
            _ => vec![],
        }
    }

    fn record(&mut self, held: Held) -> Vec<Action> {
        let intent = request::Intent {
            coordinator: self.opening.own,
            nonce: self.opening.nonce,
            endpoint: held.permit.endpoint.clone(),
            fingerprint: self.opening.fingerprint,
        };
        self.phase = Phase::Waiting(Waiting::Record(held));
        vec![Action::Record(request::Record::Intent(intent))]
    }

    fn read_back(&mut self, held: Held) -> Vec<Action> {
        self.phase = Phase::Waiting(Waiting::ReadBack(held));
        vec![Action::LookUp]
    }

    /// Acts on the record that stands; only the nonce tells the daemon's own from another's.
    fn found(&mut self, now: Now, record: request::Record) -> Vec<Action> {
        let own = record.nonce() == self.opening.nonce;
        match (&self.phase, record) {
            (Phase::Waiting(Waiting::Record(held) | Waiting::ReadBack(held)), _) if own => {
                let held = held.clone();
                self.own_record(now, held)
            }
            (_, request::Record::Intent(intent)) => self.follow(intent),
            (_, request::Record::Closed { .. }) => {
                let mut actions = self.let_go();
                actions.extend(self.refuse(Reason::IdClosed.not_run()));
                actions
            }
        }
    }

    /// Dispatches, now that this daemon alone may.
    ///
    /// Records are deleted by the identifier's age, so one that is created for an identifier past
    /// its retention proves nothing.
    fn own_record(&mut self, now: Now, held: Held) -> Vec<Action> {
        if self.is_too_old(now) {
            let mut actions = self.let_go();
            actions.extend(self.refuse(Reason::IdTooOld.unknown()));
            return actions;
        }
        if now.mono < held.until {
            return self.dispatch(held);
        }
        self.phase = Phase::Recorded;
        vec![Action::HandBack(held.permit), Action::Ask]
    }

    fn is_too_old(&self, now: Now) -> bool {
        let age_ms = now.unix_ms.saturating_sub(self.opening.key.id.created_ms());
        age_ms > self.opening.retention_ms
    }

    fn dispatch(&mut self, held: Held) -> Vec<Action> {
        let endpoint = held.permit.endpoint;
        self.phase = Phase::Dispatched { endpoint: endpoint.clone(), heard: false };
        vec![Action::Dispatch(endpoint)]
    }

    fn ask(&mut self) -> Vec<Action> {
        self.phase = Phase::Waiting(Waiting::Permit);
        vec![Action::Ask]
    }

    /// Without the record's word, only the issuer named in the identifier can know more.
    fn no_proof(&mut self) -> Vec<Action> {
        match self.opening.key.id.issuer() {
            Some(issuer) if issuer != self.opening.own => {
                let offset = self.offset;
                self.phase = Phase::Following { coordinator: Some(issuer), endpoint: None };
                vec![Action::Attach { coordinator: issuer, offset }]
            }
            _ => self.refuse(Reason::NoProof.unknown()),
        }
    }

    /// Ends a request whose intent cannot be written now.
    ///
    /// The write may yet take effect, but only this daemon could dispatch under its nonce and it
    /// no longer does.
    fn not_recorded(&mut self) -> Vec<Action> {
        let mut actions = self.let_go();
        let refusal = match self.opening.second {
            true => Reason::NoProof.unknown(),
            false => Reason::RecordUnavailable.not_run(),
        };
        actions.extend(self.refuse(refusal));
        actions
    }

    /// Refuses, now that the identifier is closed, or cannot be.
    fn closed(
        &mut self,
        now: Now,
        outcome: &RecordOutcome,
        refusal: request::Refusal,
    ) -> Vec<Action> {
        if self.is_too_old(now) {
            return self.refuse(Reason::IdTooOld.unknown());
        }
        let own = match outcome {
            RecordOutcome::Created => true,
            RecordOutcome::Exists(record) => {
                record.nonce() == self.opening.nonce
                    || matches!(record, request::Record::Closed { .. })
            }
            RecordOutcome::Unsure | RecordOutcome::Unavailable => false,
        };
        match own {
            true => self.refuse(refusal),
            false => self.refuse(Reason::NoProof.unknown()),
        }
    }
}
