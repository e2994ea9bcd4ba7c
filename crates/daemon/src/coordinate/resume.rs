//! Resuming an answer without sending the request again.

use std::{sync, time};

use trefoildyke_decide::coordinate;
use trefoildyke_types::{id, request, resource};

use crate::{
    callers,
    coordinate::{entry, handle, job},
};

/// The deadline of a request that is only resumed: one hour after the call that resumes it.
const RESUME_DEADLINE: time::Duration = time::Duration::from_secs(3_600);

impl handle::Handle {
    /// Returns the answer of an earlier request from an output offset on, in tokens; never dispatches.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the answer cannot be found or this daemon is stopping.
    pub async fn resume(
        &self,
        key: id::RequestKey,
        offset: u64,
    ) -> Result<callers::Answer, request::Refusal> {
        if let Some(entry) = self.context.table.get(&key).filter(|entry| entry.join(true)) {
            return Ok(self.read_from(entry, offset));
        }
        let found = self.context.intents.look_up(&key).await;
        let (fingerprint, resumable) = match &found {
            coordinate::ReadOutcome::Found(request::Record::Intent(intent)) => {
                (intent.fingerprint, self.is_engine(&intent.endpoint))
            }
            coordinate::ReadOutcome::Found(request::Record::Closed { .. }) => {
                return Err(coordinate::Reason::IdClosed.not_run());
            }
            coordinate::ReadOutcome::Absent | coordinate::ReadOutcome::Unavailable => {
                self.check_issuer(&key)?;
                (0, false)
            }
        };
        let entry = self.follow(key, found, fingerprint, resumable)?;
        Ok(self.read_from(entry, offset))
    }

    /// Refuses an identifier without a record unless another daemon issued it.
    ///
    /// Without a record, only the issuer can know the request.
    fn check_issuer(&self, key: &id::RequestKey) -> Result<(), request::Refusal> {
        if key.id.issuer().is_some_and(|issuer| issuer != self.context.peer_calls.own) {
            return Ok(());
        }
        let remedy = "no answer is known under this id: send the request again with the same id \
                      and `attempt` 2";
        let kind = request::RefusalKind::OutcomeUnknown;
        Err(request::Refusal::new(kind, "unknown_id", remedy))
    }

    fn is_engine(&self, endpoint: &id::EndpointName) -> bool {
        let snapshot = self.context.config.snapshot();
        let pool = snapshot.endpoint(endpoint).and_then(|spec| snapshot.pool(&spec.pool));
        pool.is_some_and(|pool| matches!(pool.protocol, resource::PoolProtocol::Engine { .. }))
    }

    fn follow(
        &self,
        key: id::RequestKey,
        found: coordinate::ReadOutcome,
        fingerprint: u64,
        resumable: bool,
    ) -> Result<sync::Arc<entry::Entry>, request::Refusal> {
        let pass = self.context.gate.enter();
        let pass = pass.ok_or_else(|| coordinate::Reason::Stopping.unknown())?;
        let initial = coordinate::InitialState {
            key: key.clone(),
            fingerprint,
            own: self.context.peer_calls.own,
            nonce: id::Nonce(rand::random()),
            maybe_retry: true,
            resumable,
            offset: 0,
            retention_ms: self.context.retention_ms(),
        };
        let is_recorded = matches!(found, coordinate::ReadOutcome::Found(_));
        let (mut state, _) =
            coordinate::RequestState::start(initial, coordinate::Admission::LookUp);
        // An absent record is reported as unavailable, because the state would otherwise ask for a permit
        // to dispatch the request.
        let found = if is_recorded { found } else { coordinate::ReadOutcome::Unavailable };
        let actions = state.step(self.context.clock.now(), coordinate::Input::LookedUp(found));
        let (entry, signals) = entry::Entry::new(key, fingerprint);
        let accepted = self.context.clock.monotonic();
        let deadline = accepted + RESUME_DEADLINE;
        let shared = sync::Arc::clone(&entry);
        let submission = None;
        self.start(
            job::Job { entry, state, actions, submission, accepted, deadline },
            signals,
            pass,
        );
        Ok(shared)
    }
}
