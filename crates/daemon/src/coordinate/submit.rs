//! Admission of a caller's request.

use std::sync;

use opentelemetry::KeyValue;
use tokio::sync::mpsc;
use trefoildyke_decide::coordinate;
use trefoildyke_kernel as kernel;
use trefoildyke_types::{id, request};

use crate::{
    callers,
    coordinate::{driver, entry, handle, job, reader},
};

/// The share of the capacity that a request leaves free for each rank more urgent than its own, in percent.
const RESERVED_PER_RANK: usize = 5;
/// The maximum share of the capacity that a request leaves free for more urgent ranks, in percent.
const MAX_RESERVED: usize = 50;
/// The retry delay in refusals because of too many requests, in milliseconds.
const BUSY_RETRY_MS: u64 = 200;

type Signals = mpsc::UnboundedReceiver<coordinate::Input>;

impl handle::Handle {
    /// Accepts a request and returns its answer; a request with a known key joins the existing one.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is not accepted.
    pub fn submit(
        &self,
        submission: callers::Submission,
    ) -> Result<callers::Answer, request::Refusal> {
        let offset = submission.spec.offset;
        let entry = self.admit(submission)?;
        Ok(self.read_from(entry, offset))
    }

    pub(super) fn read_from(&self, entry: sync::Arc<entry::Entry>, offset: u64) -> callers::Answer {
        let (answer, task) = reader::answer(entry, offset);
        self.context.scope.spawn_isolated("reader", task);
        answer
    }

    fn admit(
        &self,
        submission: callers::Submission,
    ) -> Result<sync::Arc<entry::Entry>, request::Refusal> {
        let arrival = coordinate::Arrival::new(&submission.spec);
        let pass = self.context.gate.enter();
        // The lock covers decision and insertion, so that of two equal requests one joins the other.
        let mut entries = self.context.table.lock();
        let key = arrival.id.map(|id| id::RequestKey { account: submission.account.clone(), id });
        let local = key.as_ref().and_then(|key| entries.get(key)).cloned();
        let local = local.filter(|local| local.join(arrival.may_be_retry()));
        let conditions = self.context.conditions(local.as_deref(), pass.is_none());
        let coverage = self.context.intents.settings().coverage;
        let admission = coverage.apply(coordinate::admit(&arrival, &conditions)?);
        if let (coordinate::Admission::Attach, Some(local)) = (admission, local) {
            return Ok(local);
        }
        self.check_capacity(&arrival, submission.rank)?;
        let pass = pass.ok_or_else(|| coordinate::Reason::Stopping.unknown())?;
        let (job, signals) = self.create_job(submission, &arrival, admission);
        let entry = sync::Arc::clone(&job.entry);
        entries.insert(sync::Arc::clone(&entry));
        drop(entries);
        self.start(job, signals, pass);
        Ok(entry)
    }

    /// Refuses the request if the capacity that is open to its rank is exceeded.
    ///
    /// The request itself is already counted as in progress.
    fn check_capacity(
        &self,
        arrival: &coordinate::Arrival,
        rank: u8,
    ) -> Result<(), request::Refusal> {
        let reserved = (usize::from(rank) * RESERVED_PER_RANK).min(MAX_RESERVED);
        let capacity = self.context.settings.requests * (100 - reserved) / 100;
        if self.context.gate.in_progress() <= capacity.max(1) {
            return Ok(());
        }
        let kind = match arrival.may_be_retry() {
            true => request::RefusalKind::OutcomeUnknown,
            false => request::RefusalKind::NotRun,
        };
        let remedy = "this daemon has as many requests as it can hold: send it to another host";
        Err(request::Refusal::new(kind, "busy", remedy).retry_after(BUSY_RETRY_MS))
    }

    fn create_job(
        &self,
        submission: callers::Submission,
        arrival: &coordinate::Arrival,
        admission: coordinate::Admission,
    ) -> (job::Job, Signals) {
        let own = self.context.peer_calls.own;
        let id = match (arrival.id, admission) {
            (None, coordinate::Admission::Issue(recording)) => {
                coordinate::issue(uuid::Uuid::now_v7(), own, recording)
            }
            (id, _) => id.unwrap_or_else(|| id::RequestId::issued(uuid::Uuid::now_v7(), own)),
        };
        let key = id::RequestKey { account: submission.account.clone(), id };
        let resumable = matches!(submission.spec.target, request::Target::Model(_));
        let initial = self.initial_state(key.clone(), arrival.fingerprint, arrival, resumable);
        let (state, actions) = coordinate::RequestState::start(initial, admission);
        let (entry, signals) = entry::Entry::new(key, arrival.fingerprint);
        let accepted = self.context.clock.monotonic();
        let deadline = accepted + submission.deadline;
        let submission = Some(sync::Arc::new(submission));
        (job::Job { entry, state, actions, submission, accepted, deadline }, signals)
    }

    fn initial_state(
        &self,
        key: id::RequestKey,
        fingerprint: u64,
        arrival: &coordinate::Arrival,
        resumable: bool,
    ) -> coordinate::InitialState {
        coordinate::InitialState {
            key,
            fingerprint,
            own: self.context.peer_calls.own,
            nonce: id::Nonce(rand::random()),
            maybe_retry: arrival.may_be_retry(),
            resumable,
            // The whole answer is buffered here; each reader starts at its own offset.
            offset: 0,
            retention_ms: self.context.retention_ms(),
        }
    }

    /// Starts the driver of a request; a graceful stop waits until its `pass` is dropped.
    pub(super) fn start(&self, job: job::Job, signals: Signals, pass: kernel::Pass) {
        let context = sync::Arc::clone(&self.context);
        let rank = job.submission.as_ref().map_or(0, |submission| submission.rank);
        let detail = format!("rank {rank}");
        context.timeline.record(Some(&job.entry.key), "accepted", detail);
        context.metrics.accepted.add(1, &[KeyValue::new("rank", i64::from(rank))]);
        context.metrics.active.add(1, &[]);
        let active = context.metrics.active.clone();
        let run = driver::Driver::new(context, job).run(signals);
        self.context.scope.spawn_isolated("request", async move {
            let result = run.await;
            active.add(-1, &[]);
            drop(pass);
            result
        });
    }
}
