//! Taking a caller's request.

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

/// The part of the places that each rank leaves to the ranks above it, in percent.
const RESERVED: usize = 5;
/// The most that is left to higher ranks, in percent.
const MOST_RESERVED: usize = 50;
const BUSY_MS: u64 = 200;

type Signals = mpsc::UnboundedReceiver<coordinate::Input>;

impl handle::Handle {
    /// Takes a request, or refuses it before it is accepted.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub fn submit(
        &self,
        submission: callers::Submission,
    ) -> Result<callers::Answer, request::Refusal> {
        let offset = submission.spec.offset;
        let entry = self.take(submission)?;
        Ok(self.read_from(entry, offset))
    }

    pub(super) fn read_from(&self, entry: sync::Arc<entry::Entry>, offset: u64) -> callers::Answer {
        let (answer, task) = reader::answer(entry, offset);
        self.context.scope.spawn_isolated("reader", task);
        answer
    }

    fn take(
        &self,
        submission: callers::Submission,
    ) -> Result<sync::Arc<entry::Entry>, request::Refusal> {
        let arrival = coordinate::Arrival::new(&submission.spec);
        let pass = self.context.gate.enter();
        // Deciding and inserting is one step, so that of two equal requests one joins the other.
        let mut entries = self.context.table.lock();
        let key = arrival.id.map(|id| id::RequestKey { account: submission.account.clone(), id });
        let local = key.as_ref().and_then(|key| entries.get(key)).cloned();
        let local = local.filter(|local| local.join(arrival.may_be_second()));
        let conditions = self.context.conditions(local.as_deref(), pass.is_none());
        let coverage = self.context.intents.settings().coverage;
        let admission = coverage.apply(coordinate::admit(&arrival, &conditions)?);
        if let (coordinate::Admission::Attach, Some(local)) = (admission, local) {
            return Ok(local);
        }
        self.check_room(&arrival, submission.rank)?;
        let pass = pass.ok_or_else(|| coordinate::Reason::Stopping.unknown())?;
        let (job, signals) = self.open(submission, &arrival, admission);
        let entry = sync::Arc::clone(&job.entry);
        entries.insert(sync::Arc::clone(&entry));
        drop(entries);
        self.start(job, signals, pass);
        Ok(entry)
    }

    /// Refuses more requests than fit; lower ranks leave some places to higher ones.
    fn check_room(&self, arrival: &coordinate::Arrival, rank: u8) -> Result<(), request::Refusal> {
        let reserved = (usize::from(rank) * RESERVED).min(MOST_RESERVED);
        let places = self.context.settings.requests * (100 - reserved) / 100;
        if self.context.gate.in_progress() <= places.max(1) {
            return Ok(());
        }
        let kind = match arrival.may_be_second() {
            true => request::RefusalKind::OutcomeUnknown,
            false => request::RefusalKind::NotRun,
        };
        let remedy = "this daemon has as many requests as it can hold: send it to another host";
        Err(request::Refusal::new(kind, "busy", remedy).retry_after(BUSY_MS))
    }

    fn open(
        &self,
        submission: callers::Submission,
        arrival: &coordinate::Arrival,
        admission: coordinate::Admission,
    ) -> (job::Job, Signals) {
        let own = self.context.links.own;
        let id = match (arrival.id, admission) {
            (None, coordinate::Admission::Issue(recording)) => {
                coordinate::issue(uuid::Uuid::now_v7(), own, recording)
            }
            (id, _) => id.unwrap_or_else(|| id::RequestId::issued(uuid::Uuid::now_v7(), own)),
        };
        let key = id::RequestKey { account: submission.account.clone(), id };
        let resumable = matches!(submission.spec.target, request::Target::Model(_));
        let opening = self.opening(key.clone(), arrival.fingerprint, arrival, resumable);
        let (state, actions) = coordinate::RequestState::start(opening, admission);
        let (entry, signals) = entry::Entry::new(key, arrival.fingerprint);
        let accepted = self.context.clock.mono();
        let deadline = accepted + submission.deadline;
        let submission = Some(sync::Arc::new(submission));
        (job::Job { entry, state, actions, submission, accepted, deadline }, signals)
    }

    fn opening(
        &self,
        key: id::RequestKey,
        fingerprint: u64,
        arrival: &coordinate::Arrival,
        resumable: bool,
    ) -> coordinate::Opening {
        coordinate::Opening {
            key,
            fingerprint,
            own: self.context.links.own,
            nonce: id::Nonce(rand::random()),
            second: arrival.may_be_second(),
            resumable,
            // The whole answer is kept here; each reader begins where it wants.
            offset: 0,
            retention_ms: self.context.retention_ms(),
        }
    }

    /// Starts the driver of a request; `pass` keeps a graceful stop waiting for it.
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
            let end = run.await;
            active.add(-1, &[]);
            drop(pass);
            end
        });
    }
}
