//! The task that moves one request from its admission to its final answer.

use std::{convert, sync, time};

use futures::StreamExt;
use opentelemetry::KeyValue;
use tokio::sync::mpsc;
use trefoildyke_decide::{
    coordinate::{Action, Input},
    schedule as decide,
};
use trefoildyke_types::{id, request};

use crate::{
    coordinate::{busy, handle, job, kept, operations},
    endpoints, schedule,
};

/// How long to wait before asking again when a permit may not be used.
///
/// The scheduler learns of leaving endpoints as this daemon does, only a little later.
const UNUSABLE_PAUSE: time::Duration = time::Duration::from_millis(100);

/// How long to wait before another permit is asked for when an endpoint took no connection.
///
/// Longer than reports are collected, so that the scheduler knows by then.
const CONNECT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Runs one request.
pub(super) struct Driver {
    context: sync::Arc<handle::Context>,
    job: job::Job,
    shard: Option<endpoints::Shard>,
    /// What is waited for; there is never more than one thing.
    operation: operations::Operation,
    /// The permit that came last.
    permit: Option<request::Permit>,
    /// Whether the scheduler believes that the request runs at an endpoint.
    is_running: bool,
    pause: time::Duration,
    /// Marks the endpoint at which the request is in progress.
    mark: Option<busy::Mark>,
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
            mark: None,
        }
    }

    /// Runs until the final answer.
    pub(super) async fn run(
        mut self,
        mut signals: mpsc::UnboundedReceiver<Input>,
    ) -> Result<(), convert::Infallible> {
        let deadline = self.context.clock.instant(self.job.deadline);
        let mut passed = false;
        let mut gone = None;
        let mut isolation = self.context.isolation.changes();
        let first = std::mem::take(&mut self.job.actions);
        self.carry_out(first);
        while !self.job.state.is_final() {
            let input = tokio::select! {
                biased;
                () = tokio::time::sleep_until(deadline), if !passed => {
                    passed = true;
                    Input::DeadlinePassed
                }
                Some(signal) = signals.recv() => match signal {
                    Input::CallerGone => {
                        gone = Some(time::Instant::now() + self.context.settings.linger());
                        continue;
                    }
                    signal => signal,
                },
                () = linger(gone) => {
                    gone = None;
                    // It may have come back meanwhile, here or through a peer.
                    if self.job.entry.has_readers() {
                        continue;
                    }
                    Input::CallerGone
                }
                // The sender lives as long as the context.
                Ok(()) = isolation.changed() => match *isolation.borrow_and_update() {
                    true => Input::Isolated,
                    false => continue,
                },
                input = self.operation.next() => match input {
                    Some(input) => input,
                    None => self.ended(),
                },
            };
            self.step(input);
        }
        self.conclude();
        Ok(())
    }

    /// An answer that ends without its last chunk is lost.
    fn ended(&mut self) -> Input {
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
            other => self.note("input", || format!("{other:?}")),
        }
        let is_unusable = matches!(input, Input::UnusablePermit(_));
        self.advance(input);
        // While the daemon is cut off no permit can be used, so another one would not help.
        if is_unusable && self.context.isolation.is_isolated() {
            self.advance(Input::Isolated);
        }
    }

    fn advance(&mut self, input: Input) {
        self.job.state.join(self.job.entry.is_second());
        let actions = self.job.state.step(self.context.clock.now(), input);
        self.carry_out(actions);
    }

    /// Marks a permit that may not be used, as far as this daemon knows.
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
        !self.context.isolation.is_isolated() && self.context.takes_work(endpoint)
    }

    /// Voids the permit if it became unusable while the intent was written.
    fn check_endpoint(&mut self) {
        let endpoint = self.permit.as_ref().map(|permit| permit.endpoint.clone());
        if endpoint.is_some_and(|endpoint| !self.is_usable(&endpoint)) {
            let now = self.context.clock.now();
            self.job.state.step(now, Input::EndpointLeaving);
        }
    }

    fn connect_failed(&mut self) {
        self.pause = CONNECT_PAUSE;
        self.mark = None;
        self.finished(decide::Outcome::Failed);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        let key = self.job.entry.key.clone();
        let context = sync::Arc::clone(&self.context);
        match action {
            Action::Ask => self.ask(),
            Action::Withdraw => self.operation = operations::none(),
            Action::HandBack(permit) => self.hand_back(&permit),
            Action::Record(record) => {
                self.note("record", || describe(&record));
                self.operation = operations::record(context, key, record);
            }
            Action::LookUp => self.operation = operations::look_up(context, key),
            Action::Dispatch(endpoint) => self.dispatch(&endpoint),
            Action::Resume { endpoint, offset } => self.resume(&endpoint, offset),
            Action::Attach { coordinator, offset } => {
                self.note("attach", || format!("to {coordinator} at {offset}"));
                self.context.metrics.resumed.add(1, &[KeyValue::new("way", "attach")]);
                self.operation = operations::attach(context, coordinator, key, offset);
            }
            Action::Cancel(endpoint) => self.cancel(&endpoint),
            Action::Deliver(chunk) => self.deliver(chunk),
            Action::Refuse(refusal) => {
                self.job.entry.refuse(refusal, self.job.state.is_second());
            }
        }
    }

    fn ask(&mut self) {
        let (Some(shard), Some(ask)) = (self.shard.clone(), self.job.ask(self.context.links.own))
        else {
            // Only a caller that comes back for an answer has nothing to ask for.
            self.operation = operations::none();
            return;
        };
        let context = sync::Arc::clone(&self.context);
        let pause = std::mem::take(&mut self.pause);
        self.context.metrics.asks.add(1, &[]);
        self.operation = operations::ask(context, shard, ask, self.job.deadline, pause);
    }

    fn hand_back(&self, permit: &request::Permit) {
        self.note("handed_back", || format!("permit for {}", permit.endpoint));
        self.report(schedule::Note::HandBack { key: permit.key.clone() });
    }

    fn dispatch(&mut self, endpoint: &id::EndpointName) {
        let key = self.job.entry.key.clone();
        let spec = self.context.endpoint(endpoint);
        let (Some(spec), Some(submission)) = (spec, self.job.submission.clone()) else {
            self.operation = futures::stream::iter([Input::ConnectFailed]).boxed();
            return;
        };
        self.mark = Some(self.context.busy.mark(endpoint));
        self.started();
        self.note("dispatched", || endpoint.to_string());
        let left = self.job.deadline.since(self.context.clock.mono());
        self.operation = operations::dispatch(&self.context, &spec, key, &submission, left);
    }

    fn started(&mut self) {
        let ask = self.job.ask(self.context.links.own);
        if let (Some(mut ask), Some(permit)) = (ask, self.permit.clone()) {
            let left = self.job.deadline.since(self.context.clock.mono());
            ask.left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            self.is_running = true;
            self.report(schedule::Note::Started { ask, permit });
        }
    }

    fn resume(&mut self, endpoint: &id::EndpointName, offset: u64) {
        self.mark = Some(self.context.busy.mark(endpoint));
        self.note("resumed", || format!("at {endpoint} from {offset}"));
        self.context.metrics.resumed.add(1, &[KeyValue::new("way", "endpoint")]);
        self.take_over(endpoint);
        self.operation = match self.context.endpoint(endpoint) {
            Some(spec) => operations::resume(&self.context, &spec, &self.job.entry.key, offset),
            None => futures::stream::iter([Input::ResumeFailed]).boxed(),
        };
    }

    /// Tells the scheduler of a request that another daemon has dispatched.
    fn take_over(&mut self, endpoint: &id::EndpointName) {
        let ask = self.job.ask(self.context.links.own);
        if let (Some(ask), false) = (ask, self.is_running) {
            self.is_running = true;
            self.report(schedule::Note::TakenOver { ask, endpoint: endpoint.clone() });
        }
    }

    fn cancel(&self, endpoint: &id::EndpointName) {
        self.note("cancelled", || endpoint.to_string());
        let Some(spec) = self.context.endpoint(endpoint) else { return };
        let client = self.context.clients.engine(spec.address);
        let key = self.job.entry.key.clone();
        self.context.scope.spawn_isolated("cancel", async move {
            // Plain services cannot be cancelled and say so.
            let _ = client.cancel(&key).await;
            Ok::<(), convert::Infallible>(())
        });
    }

    fn deliver(&mut self, chunk: request::Chunk) {
        let is_first = self.job.entry.len() == 0;
        self.context.metrics.tokens.add(chunk.tokens.len() as u64, &[]);
        self.job.entry.push(chunk);
        if is_first {
            let waited = self.context.clock.mono().since(self.job.accepted);
            self.context.metrics.first_token.record(waited.as_secs_f64() * 1_000.0, &[]);
        }
        if self.is_running {
            let key = self.job.entry.key.clone();
            self.report(schedule::Note::Tokens { key, tokens: self.tokens() });
        }
    }

    fn tokens(&self) -> u32 {
        u32::try_from(self.job.entry.len()).unwrap_or(u32::MAX)
    }

    /// Tells the scheduler that the request left the endpoint, if it believes it there.
    fn finished(&mut self, outcome: decide::Outcome) {
        if std::mem::take(&mut self.is_running) {
            let key = self.job.entry.key.clone();
            self.report(schedule::Note::Finished { key, tokens: self.tokens(), outcome });
        }
    }

    fn conclude(&mut self) {
        let entry = sync::Arc::clone(&self.job.entry);
        // Does nothing if the answer or the refusal was given to the caller.
        entry.finish(kept::End::Abandoned);
        let (outcome, reason) = match entry.end() {
            Some(kept::End::Whole) => (decide::Outcome::Whole, "whole".to_owned()),
            Some(kept::End::Refused(refusal)) => (outcome_of(&refusal), refusal.reason),
            Some(kept::End::Abandoned) | None => {
                (decide::Outcome::Cancelled, "abandoned".to_owned())
            }
        };
        self.finished(outcome);
        self.note("finished", || reason.clone());
        self.context.metrics.finished.add(1, &[KeyValue::new("reason", reason)]);
        self.context.table.ended(&entry);
    }

    fn report(&self, note: schedule::Note) {
        if let Some(shard) = &self.shard {
            self.context.schedule.report(shard, note);
        }
    }

    fn note(&self, kind: &str, detail: impl FnOnce() -> String) {
        self.context.timeline.record(Some(&self.job.entry.key), kind, detail());
    }
}

async fn linger(until: Option<time::Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until.into()).await,
        None => std::future::pending().await,
    }
}

fn outcome_of(refusal: &request::Refusal) -> decide::Outcome {
    match refusal.kind {
        request::RefusalKind::Failed => decide::Outcome::Failed,
        _ => decide::Outcome::Cancelled,
    }
}

fn describe(record: &request::Record) -> String {
    match record {
        request::Record::Intent(intent) => format!("intent for {}", intent.endpoint),
        request::Record::Closed { .. } => "closed".to_owned(),
    }
}
