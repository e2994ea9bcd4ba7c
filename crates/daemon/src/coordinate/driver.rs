//! The task that runs one request from its admission to its final answer.

use std::{convert, sync, time};

use futures::StreamExt;
use opentelemetry::KeyValue;
use tokio::sync::mpsc;
use trefoildyke_decide::{
    coordinate::{Action, Input, Reason},
    schedule as decide,
};
use trefoildyke_types::{id, request};

use crate::{
    coordinate::{buffer, handle, in_flight, job, operations},
    endpoints, schedule,
};

/// How long to wait before asking for another permit after an unusable one.
///
/// The scheduler learns that an endpoint is leaving in the same way as this daemon, but may learn it later.
const UNUSABLE_PAUSE: time::Duration = time::Duration::from_millis(100);

/// How long to wait before asking for another permit after a connection to an endpoint failed.
///
/// Longer than reports to the scheduler are batched by default, so that it knows of the failure by then.
const CONNECT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Runs one request: feeds inputs to its state and carries out the resulting actions.
pub(super) struct Driver {
    context: sync::Arc<handle::Context>,
    job: job::Job,
    shard: Option<endpoints::Shard>,
    /// The operation in progress; there is at most one at a time.
    operation: operations::Operation,
    /// The last permit that the scheduler granted and that was usable.
    permit: Option<request::Permit>,
    /// Whether the scheduler has been told that the request runs at an endpoint.
    is_running: bool,
    /// How long to wait before the next ask for a permit.
    pause: time::Duration,
    /// Counts the request as in progress at its endpoint.
    guard: Option<in_flight::Guard>,
}

impl Driver {
    pub(super) fn new(context: sync::Arc<handle::Context>, job: job::Job) -> Self {
        let shard = job.submission.as_ref().map(|submission| context.shard(submission));
        Self {
            context,
            job,
            shard,
            operation: operations::none(),
            permit: None,
            is_running: false,
            pause: time::Duration::ZERO,
            guard: None,
        }
    }

    /// Runs until the state of the request is final.
    pub(super) async fn run(
        mut self,
        mut signals: mpsc::UnboundedReceiver<Input>,
    ) -> Result<(), convert::Infallible> {
        let deadline = self.context.clock.instant(self.job.deadline);
        let mut deadline_passed = false;
        let mut abandon_at = None;
        let mut isolation = self.context.isolation.changes();
        let first = std::mem::take(&mut self.job.actions);
        self.run_actions(first);
        while !self.job.state.is_final() {
            let input = tokio::select! {
                biased;
                () = tokio::time::sleep_until(deadline), if !deadline_passed => {
                    deadline_passed = true;
                    Input::DeadlinePassed
                }
                Some(signal) = signals.recv() => match signal {
                    Input::CallerGone => {
                        abandon_at = Some(time::Instant::now() + self.context.settings.linger());
                        continue;
                    }
                    signal => signal,
                },
                () = sleep_until(abandon_at) => {
                    abandon_at = None;
                    // A caller may have resumed in the meantime, here or through a peer.
                    if self.job.entry.has_readers() {
                        continue;
                    }
                    Input::CallerGone
                }
                // Never an error: the context holds the sender.
                Ok(()) = isolation.changed() => match *isolation.borrow_and_update() {
                    true => Input::Isolated,
                    false => continue,
                },
                input = self.operation.next() => match input {
                    Some(input) => input,
                    None => self.stream_ended(),
                },
            };
            self.step(input);
        }
        self.conclude();
        Ok(())
    }

    /// Clears the operation, which ended without the last chunk of the answer, and returns `StreamLost`.
    fn stream_ended(&mut self) -> Input {
        self.operation = operations::none();
        Input::StreamLost
    }

    fn step(&mut self, input: Input) {
        let input = self.check_permit(input);
        match &input {
            Input::Permit(permit) => self.permit = Some(permit.clone()),
            Input::Recorded(_) | Input::LookedUp(_) => self.check_endpoint(),
            Input::ConnectFailed => self.connect_failed(),
            Input::Chunk(_) => {}
            other => self.record_event("input", || format!("{other:?}")),
        }
        let is_unusable = matches!(input, Input::UnusablePermit(_));
        self.advance(input);
        // While the daemon is isolated no permit is usable, so it is useless to ask for another one.
        if is_unusable && self.context.isolation.is_isolated() {
            self.advance(Input::Isolated);
        }
    }

    fn advance(&mut self, input: Input) {
        self.job.state.join(self.job.entry.is_maybe_retry());
        let actions = self.job.state.step(self.context.clock.now(), input);
        self.run_actions(actions);
    }

    /// Marks a new permit as unusable if this daemon is isolated or the endpoint accepts no new work.
    fn check_permit(&mut self, input: Input) -> Input {
        match input {
            Input::Permit(permit) if !self.is_usable(&permit.endpoint) => {
                self.pause = UNUSABLE_PAUSE;
                Input::UnusablePermit(permit)
            }
            input => input,
        }
    }

    /// Returns whether a permit for the endpoint may be used, as far as this daemon knows.
    fn is_usable(&self, endpoint: &id::EndpointName) -> bool {
        !self.context.isolation.is_isolated() && self.context.accepts_work(endpoint)
    }

    /// Expires the permit if it became unusable while a record was written or read.
    fn check_endpoint(&mut self) {
        let endpoint = self.permit.as_ref().map(|permit| permit.endpoint.clone());
        if endpoint.is_some_and(|endpoint| !self.is_usable(&endpoint)) {
            let now = self.context.clock.now();
            self.job.state.step(now, Input::EndpointLeaving);
        }
    }

    fn connect_failed(&mut self) {
        self.pause = CONNECT_PAUSE;
        self.guard = None;
        self.report_finished(decide::Outcome::Failed);
    }

    fn run_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.run_action(action);
        }
    }

    fn run_action(&mut self, action: Action) {
        let key = self.job.entry.key.clone();
        let context = sync::Arc::clone(&self.context);
        match action {
            Action::RequestPermit => self.ask(),
            Action::Withdraw => self.operation = operations::none(),
            Action::ReturnPermit(permit) => self.return_permit(&permit),
            Action::Record(record) => {
                self.record_event("record", || describe_record(&record));
                self.operation = operations::record(context, key, record);
            }
            Action::ReadRecord => self.operation = operations::look_up(context, key),
            Action::Dispatch(endpoint) => self.dispatch(&endpoint),
            Action::Resume { endpoint, offset } => self.resume(&endpoint, offset),
            Action::Attach { coordinator, offset } => {
                self.record_event("attach", || format!("to {coordinator} at {offset}"));
                self.context.metrics.resumed.add(1, &[KeyValue::new("way", "attach")]);
                let is_only_source = !self.job.state.can_resume_at_endpoint();
                self.operation =
                    operations::attach(context, coordinator, key, offset, is_only_source);
            }
            Action::Cancel(endpoint) => self.cancel(&endpoint),
            Action::Deliver(chunk) => self.deliver(chunk),
            Action::Refuse(refusal) => {
                self.job.entry.refuse(refusal, self.job.state.is_maybe_retry());
            }
        }
    }

    fn ask(&mut self) {
        let (Some(shard), Some(ask)) =
            (self.shard.clone(), self.job.ask(self.context.peer_calls.own))
        else {
            // Without a submission, the caller only resumes an answer and needs no permit.
            self.operation = operations::none();
            return;
        };
        let context = sync::Arc::clone(&self.context);
        let pause = std::mem::take(&mut self.pause);
        self.context.metrics.permits_asked.add(1, &[]);
        self.operation = operations::ask(context, shard, ask, self.job.deadline, pause);
    }

    fn return_permit(&self, permit: &request::Permit) {
        self.record_event("handed_back", || format!("permit for {}", permit.endpoint));
        self.report(schedule::RequestEvent::HandBack { key: permit.key.clone() });
    }

    fn dispatch(&mut self, endpoint: &id::EndpointName) {
        let key = self.job.entry.key.clone();
        let spec = self.context.endpoint(endpoint);
        let (Some(spec), Some(submission)) = (spec, self.job.submission.clone()) else {
            self.operation = futures::stream::iter([Input::ConnectFailed]).boxed();
            return;
        };
        self.guard = Some(self.context.in_flight.track(endpoint));
        self.report_started();
        self.record_event("dispatched", || endpoint.to_string());
        let left = self.job.deadline.since(self.context.clock.monotonic());
        self.operation = operations::dispatch(&self.context, &spec, key, &submission, left);
    }

    fn report_started(&mut self) {
        let ask = self.job.ask(self.context.peer_calls.own);
        if let (Some(mut ask), Some(permit)) = (ask, self.permit.clone()) {
            let left = self.job.deadline.since(self.context.clock.monotonic());
            ask.left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            self.is_running = true;
            self.report(schedule::RequestEvent::Started { ask, permit });
        }
    }

    fn resume(&mut self, endpoint: &id::EndpointName, offset: u64) {
        self.guard = Some(self.context.in_flight.track(endpoint));
        self.record_event("resumed", || format!("at {endpoint} from {offset}"));
        self.context.metrics.resumed.add(1, &[KeyValue::new("way", "endpoint")]);
        self.report_takeover(endpoint);
        self.operation = match self.context.endpoint(endpoint) {
            Some(spec) => operations::resume(&self.context, &spec, &self.job.entry.key, offset),
            None => futures::stream::iter([Input::ResumeFailed]).boxed(),
        };
    }

    /// Reports to the scheduler a request that another daemon has dispatched.
    fn report_takeover(&mut self, endpoint: &id::EndpointName) {
        let ask = self.job.ask(self.context.peer_calls.own);
        if let (Some(ask), false) = (ask, self.is_running) {
            self.is_running = true;
            self.report(schedule::RequestEvent::TakenOver { ask, endpoint: endpoint.clone() });
        }
    }

    fn cancel(&self, endpoint: &id::EndpointName) {
        self.record_event("cancelled", || endpoint.to_string());
        let Some(spec) = self.context.endpoint(endpoint) else { return };
        let client = self.context.clients.engine(spec.address);
        let key = self.job.entry.key.clone();
        self.context.scope.spawn_isolated("cancel", async move {
            // The result is ignored: plain services do not support cancellation and answer accordingly.
            let _ = client.cancel(&key).await;
            Ok::<(), convert::Infallible>(())
        });
    }

    fn deliver(&mut self, chunk: request::Chunk) {
        let is_first = self.job.entry.len() == 0;
        self.context.metrics.tokens.add(chunk.tokens.len() as u64, &[]);
        self.job.entry.push(chunk);
        if is_first {
            let waited = self.context.clock.monotonic().since(self.job.accepted);
            self.context.metrics.first_token_time.record(waited.as_secs_f64() * 1_000.0, &[]);
        }
        if self.is_running {
            let key = self.job.entry.key.clone();
            self.report(schedule::RequestEvent::Tokens { key, tokens: self.tokens() });
        }
    }

    fn tokens(&self) -> u32 {
        u32::try_from(self.job.entry.len()).unwrap_or(u32::MAX)
    }

    /// Reports to the scheduler that the request left the endpoint, if it was reported as running.
    fn report_finished(&mut self, outcome: decide::Outcome) {
        if std::mem::take(&mut self.is_running) {
            let key = self.job.entry.key.clone();
            self.report(schedule::RequestEvent::Finished { key, tokens: self.tokens(), outcome });
        }
    }

    fn conclude(&mut self) {
        let entry = sync::Arc::clone(&self.job.entry);
        // Has no effect if the answer has already ended, complete or with a refusal.
        entry.finish(buffer::End::Abandoned);
        let (outcome, reason) = match entry.end() {
            Some(buffer::End::Whole) => (decide::Outcome::Whole, "whole".to_owned()),
            Some(buffer::End::Refused(refusal)) => (outcome_of(&refusal), refusal.reason),
            Some(buffer::End::Abandoned) | None => {
                (decide::Outcome::Cancelled, "abandoned".to_owned())
            }
        };
        self.report_finished(outcome);
        self.record_event("finished", || reason.clone());
        self.context.metrics.finished.add(1, &[KeyValue::new("reason", reason)]);
        self.context.table.complete(&entry);
    }

    fn report(&self, event: schedule::RequestEvent) {
        if let Some(shard) = &self.shard {
            self.context.schedule.report(shard, event);
        }
    }

    fn record_event(&self, kind: &str, detail: impl FnOnce() -> String) {
        self.context.timeline.record(Some(&self.job.entry.key), kind, detail());
    }
}

async fn sleep_until(until: Option<time::Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until.into()).await,
        None => std::future::pending().await,
    }
}

fn outcome_of(refusal: &request::Refusal) -> decide::Outcome {
    match refusal.kind {
        request::RefusalKind::Failed => decide::Outcome::Failed,
        request::RefusalKind::OutcomeUnknown if refusal.reason == Reason::AnswerLost.word() => {
            decide::Outcome::Lost
        }
        _ => decide::Outcome::Cancelled,
    }
}

fn describe_record(record: &request::Record) -> String {
    match record {
        request::Record::Intent(intent) => format!("intent for {}", intent.endpoint),
        request::Record::Closed { .. } => "closed".to_owned(),
    }
}
