//! The steps after a dispatch by this or another daemon: receiving the answer.

use trefoildyke_types::request;

use crate::coordinate::{Action, Phase, Reason, RequestState};

impl RequestState {
    /// Delivers the tokens that continue the answer.
    ///
    /// A chunk of another request or after a gap is dropped, and the rest of the answer is fetched again.
    pub(super) fn chunk(&mut self, mut chunk: request::Chunk) -> Vec<Action> {
        if !matches!(self.phase, Phase::Dispatched { .. } | Phase::Following { .. }) {
            return vec![];
        }
        if chunk.id != self.initial.key.id || chunk.offset > self.offset {
            return self.stream_lost();
        }
        if let Phase::Dispatched { has_chunk, .. } = &mut self.phase {
            *has_chunk = true;
        }
        let duplicates = usize::try_from(self.offset - chunk.offset).unwrap_or(usize::MAX);
        chunk.tokens.drain(..duplicates.min(chunk.tokens.len()));
        if chunk.tokens.is_empty() && chunk.finish.is_none() {
            return vec![];
        }
        chunk.offset = self.offset;
        self.offset += chunk.tokens.len() as u64;
        match chunk.finish {
            Some(request::Finish::Cancelled) => {
                self.refuse(Reason::Cancelled.refuse(request::RefusalKind::Failed))
            }
            Some(request::Finish::Whole) => {
                self.phase = Phase::Answered;
                vec![Action::Deliver(chunk)]
            }
            None => vec![Action::Deliver(chunk)],
        }
    }

    /// Follows the answer to the dispatch that the intent record describes.
    pub(super) fn follow(&mut self, intent: request::Intent) -> Vec<Action> {
        let mut actions = self.release_permit();
        if intent.fingerprint != self.initial.fingerprint {
            actions.extend(self.refuse(Reason::IdReused.invalid()));
            return actions;
        }
        let own = intent.coordinator == self.initial.own;
        let coordinator = if own { None } else { Some(intent.coordinator) };
        self.phase = Phase::Following { coordinator, endpoint: Some(intent.endpoint) };
        actions.extend(self.fetch_rest());
        actions
    }

    /// Returns whether the rest of the answer can be fetched from an endpoint.
    pub const fn can_resume_at_endpoint(&self) -> bool {
        let is_known = matches!(
            self.phase,
            Phase::Dispatched { .. } | Phase::Following { endpoint: Some(_), .. }
        );
        self.initial.resumable && is_known
    }

    /// Requests the rest of the answer from the coordinator or endpoint that can provide it.
    fn fetch_rest(&mut self) -> Vec<Action> {
        let offset = self.offset;
        match &self.phase {
            Phase::Following { coordinator: Some(coordinator), .. } => {
                vec![Action::Attach { coordinator: *coordinator, offset }]
            }
            Phase::Dispatched { endpoint, .. }
            | Phase::Following { endpoint: Some(endpoint), .. }
                if self.initial.resumable =>
            {
                vec![Action::Resume { endpoint: endpoint.clone(), offset }]
            }
            _ => self.refuse(Reason::AnswerLost.unknown()),
        }
    }

    pub(super) fn stream_lost(&mut self) -> Vec<Action> {
        match self.phase {
            Phase::Dispatched { .. } | Phase::Following { .. } => self.fetch_rest(),
            _ => vec![],
        }
    }

    pub(super) fn resume_failed(&mut self) -> Vec<Action> {
        match self.phase {
            Phase::Dispatched { .. } | Phase::Following { coordinator: None, .. } => {
                self.refuse(Reason::AnswerLost.unknown())
            }
            _ => vec![],
        }
    }

    pub(super) fn attach_failed(&mut self) -> Vec<Action> {
        match &mut self.phase {
            Phase::Following { coordinator, .. } => {
                *coordinator = None;
                self.fetch_rest()
            }
            _ => vec![],
        }
    }

    /// Passes on the refusal of the coordinator that is followed.
    ///
    /// Its `not_run` is valid as it is if no other daemon may dispatch: the coordinator owns the record,
    /// or the identifier is unrecorded. Otherwise the identifier is closed first.
    pub(super) fn coordinator_refused(&mut self, refusal: request::Refusal) -> Vec<Action> {
        let Phase::Following { endpoint, .. } = &self.phase else {
            return vec![];
        };
        let exclusive = endpoint.is_some() || self.initial.key.id.is_unrecorded();
        if exclusive || refusal.kind != request::RefusalKind::NotRun {
            return self.refuse(refusal);
        }
        self.close_and_refuse(refusal)
    }

    pub(super) fn endpoint_failed(&mut self, refusal: request::Refusal) -> Vec<Action> {
        match self.phase {
            Phase::Dispatched { .. } | Phase::Following { .. } => self.refuse(refusal),
            _ => vec![],
        }
    }

    /// Asks for another endpoint: nothing was sent, and this daemon still has the right to dispatch.
    pub(super) fn connect_failed(&mut self) -> Vec<Action> {
        match self.phase {
            Phase::Dispatched { has_chunk: false, .. } => {
                self.phase = Phase::Recorded;
                vec![Action::RequestPermit]
            }
            _ => vec![],
        }
    }
}
