//! Forwards streams of events as they come, and resumes them at another endpoint where that is allowed.

use std::time;

use bytes::Bytes;
use futures::stream;
use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::{ingress, record, upstream};

/// The number of the route's `gap_ms` periods without an event after which another endpoint is asked to go
/// on with a resumable stream.
const SILENCE_GAPS: u32 = 4;

/// The shortest time without an event after which another endpoint is asked to go on with a stream; callers
/// leave after two seconds or more.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(1_200);

/// A part that was waited for this long was not buffered before the wait, so the start of the endpoint that
/// sends it lives.
const MIN_LIVE_WAIT: time::Duration = time::Duration::from_millis(50);

/// The outcomes of streams that are not complete.
const BROKEN: record::Outcome = record::Outcome::new("stream_broken", record::EndedBy::Endpoint);
const TIMEOUT: record::Outcome = record::Outcome::new("stream_timeout", record::EndedBy::Gateway);

/// Starts forwarding a stream.
pub(crate) fn stream(
    mut driver: ingress::Driver,
    opened: ingress::OpenStream,
) -> hyper::Response<ingress::Body> {
    let shared = std::sync::Arc::clone(&driver.shared);
    let (status, mut headers) = (opened.head.status, opened.head.headers.clone());
    driver.access.begin_answer(status.as_u16());
    driver.bind_version(&opened);
    let end = tokio::time::Instant::now() + driver.call.answer_due.since(shared.now());
    let relay = Relay {
        driver,
        endpoint: opened.slot.grant().endpoint.clone(),
        source: Some(opened),
        events: gateway::EventSplitter::default(),
        memory: shared.answers.reserve(),
        end,
        silent_since: tokio::time::Instant::now(),
        ignores_silence: false,
    };
    headers.remove(hyper::header::CONTENT_LENGTH);
    let body = ingress::frames(stream::unfold(Some(relay), next_part));
    ingress::response_head(headers, status, body)
}

struct Relay {
    driver: ingress::Driver,
    /// The source of the events; `None` after the end.
    source: Option<ingress::OpenStream>,
    /// The endpoint of the source, or of the last one.
    endpoint: id::EndpointName,
    events: gateway::EventSplitter,
    /// The memory of the event that is not complete.
    memory: upstream::AnswerReservation,
    /// When the stream is cut off.
    end: tokio::time::Instant,
    /// When the last whole event came, or another endpoint was last asked to go on.
    silent_since: tokio::time::Instant,
    /// Whether to wait for the next event however long it takes, because the request may not be sent again.
    ignores_silence: bool,
}

/// The result of waiting for the next events.
enum Step {
    Part(Bytes),
    End,
    Broken(ingress::FailedSend),
    /// The caller's connection is closed, for this reason.
    Abort(record::Outcome),
}

type NextPart = Option<(Result<Bytes, ingress::Aborted>, Option<Relay>)>;

async fn next_part(relay: Option<Relay>) -> NextPart {
    let mut relay = relay?;
    loop {
        match relay.next_step().await {
            Step::Part(part) => return Some((Ok(part), Some(relay))),
            Step::End => {
                relay.finish();
                return None;
            }
            Step::Abort(reason) => return relay.abort(reason),
            Step::Broken(failed) => {
                let reason = if failed.is_late { TIMEOUT } else { BROKEN };
                if !relay.resume(failed).await {
                    return relay.abort(reason);
                }
            }
        }
    }
}

/// Returns the events that `bytes` complete; describes why the stream cannot go on otherwise.
fn split_events(
    splitter: &mut gateway::EventSplitter,
    memory: &mut upstream::AnswerReservation,
    bytes: Bytes,
) -> Result<Option<Bytes>, String> {
    let events = splitter.push(bytes).map_err(|error| error.to_string())?;
    let resized = memory.resize(splitter.buffer_len());
    resized.map(|()| events).map_err(|error| error.to_string())
}

impl Relay {
    async fn next_step(&mut self) -> Step {
        loop {
            let silence_limit = self.silence_limit();
            let Some(source) = &mut self.source else { return Step::Abort(BROKEN) };
            let until = silence_limit
                .map_or(self.end, |silence_limit| self.end.min(self.silent_since + silence_limit));
            let waited_since = tokio::time::Instant::now();
            let step = match tokio::time::timeout_at(until, source.next_part()).await {
                Ok(part) => {
                    if matches!(part, Some(Ok(_))) && waited_since.elapsed() >= MIN_LIVE_WAIT {
                        self.driver.correct_version();
                    }
                    self.handle_part(part)
                }
                Err(_) if until >= self.end => Some(Step::Abort(TIMEOUT)),
                Err(_) => self.replace_source().await,
            };
            if let Some(step) = step {
                return step;
            }
        }
    }

    /// Handles the next part of the stream, or its end; returns `None` if no event is complete yet.
    fn handle_part(&mut self, part: Option<hyper::Result<Bytes>>) -> Option<Step> {
        let source = self.source.as_mut()?;
        let broken = |failure, detail: String| {
            Some(Step::Broken(ingress::FailedSend::new(source.slot.send(), failure, detail)))
        };
        let bytes = match part {
            None if self.events.has_partial() => {
                return broken(gateway::Failure::Cut, "cut in an event".to_owned());
            }
            // An endpoint that crashes also ends an answer without framing, which is then empty.
            None if !source.is_framed && source.slot.send().began_at.is_none() => {
                return broken(gateway::Failure::Cut, "no event".to_owned());
            }
            None if !source.is_framed && !source.connection.has_sent_request() => {
                return broken(gateway::Failure::Cut, ingress::UNSENT.to_owned());
            }
            None => return Some(Step::End),
            Some(Err(error)) => return broken(upstream::classify_error(&error), error.to_string()),
            Some(Ok(bytes)) => bytes,
        };
        let pause = source.slot.record_part();
        self.driver.access.record_part(pause);
        self.driver.record_progress(&mut source.slot);
        match split_events(&mut self.events, &mut self.memory, bytes) {
            // Bytes that complete no event do not count.
            Ok(None) => None,
            Ok(Some(events)) => {
                self.silent_since = tokio::time::Instant::now();
                self.ignores_silence = false;
                self.driver.record_forwarded();
                Some(Step::Part(events))
            }
            Err(error) => {
                let send = source.slot.send();
                let failure = gateway::Failure::Lost;
                Some(Step::Broken(ingress::FailedSend::new(send, failure, error)))
            }
        }
    }

    /// Returns how long a resumable stream may be silent before another endpoint is asked to go on with it.
    fn silence_limit(&self) -> Option<time::Duration> {
        let call = &self.driver.call;
        let is_resumable = call.kind.is_idempotent() && !self.ignores_silence;
        is_resumable.then(|| (call.max_pause * SILENCE_GAPS).max(MIN_SILENCE))
    }

    /// Asks other endpoints to go on with a silent stream.
    ///
    /// The silent endpoint keeps the stream until another one has taken it over. Returns what came of the
    /// silent endpoint meanwhile, or `None` if the wait for the next event goes on.
    async fn replace_source(&mut self) -> Option<Step> {
        if !self.driver.has_untried_endpoint() {
            self.silent_since = tokio::time::Instant::now();
            return None;
        }
        if !self.driver.has_certain_version().await || !self.driver.reserve_resend() {
            self.ignores_silence = true;
            return None;
        }
        let after = self.events.last().map(str::to_owned);
        while self.driver.has_untried_endpoint() {
            let source = self.source.as_mut()?;
            let slot = tokio::select! {
                part = source.next_part() => {
                    self.driver.release_retry();
                    return self.handle_part(part);
                }
                slot = self.driver.acquire_slot() => slot,
            };
            let Ok(slot) = slot else { break };
            let pending = self.driver.start_hedge(slot, after.as_deref());
            let failed = match self.race(pending, after.as_deref()).await {
                Ok(step) => return step,
                Err(failed) => failed,
            };
            if self.driver.handle_failure_beside(failed) != gateway::RetryAction::Again {
                break;
            }
        }
        self.driver.release_retry();
        self.silent_since = tokio::time::Instant::now();
        None
    }

    /// Waits for the next event of the silent endpoint or the first one of the endpoint that was asked to go
    /// on, whichever comes first.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint that was asked cannot go on; the silent one still has the stream.
    async fn race(
        &mut self,
        mut pending: ingress::PendingSend,
        after: Option<&str>,
    ) -> Result<Option<Step>, ingress::FailedSend> {
        loop {
            let Some(source) = &mut self.source else { return Ok(None) };
            tokio::select! {
                part = source.next_part() => match self.handle_part(part) {
                    None => {}
                    Some(Step::Broken(failed)) => {
                        return Ok(self.await_replacement(pending, failed, after).await);
                    }
                    step => {
                        self.driver.record_withdrawal(&pending.slot);
                        return Ok(step);
                    }
                },
                answer = pending.answer() => {
                    let received = self.driver.settle(pending.slot, answer);
                    let received = self.driver.check_version(received).await;
                    return self.take_over(received, after).map(|()| None);
                }
                () = tokio::time::sleep_until(self.end) => return Ok(Some(Step::Abort(TIMEOUT))),
            }
        }
    }

    /// Waits for the endpoint that was asked to go on, after the silent one has broken off.
    async fn await_replacement(
        &mut self,
        pending: ingress::PendingSend,
        failed: ingress::FailedSend,
        after: Option<&str>,
    ) -> Option<Step> {
        self.leave_source();
        self.driver.handle_replaced_failure(failed);
        let received = self.driver.wait(pending, self.end).await;
        let received = self.driver.check_version(received).await;
        self.take_over(received, after).err().map(Step::Broken)
    }

    /// Aborts a stream that cannot be resumed.
    fn abort(mut self, reason: record::Outcome) -> NextPart {
        self.driver.access.set_outcome(reason.outcome, reason.ended_by);
        Some((Err(ingress::Aborted), None))
    }

    /// Ends a stream that is complete.
    fn finish(mut self) {
        if let Some(ingress::OpenStream { connection, mut slot, is_framed, .. }) =
            self.source.take()
        {
            slot.set_outcome(gateway::Outcome::Served);
            self.driver.access.set_answer(&slot.grant().endpoint, is_framed);
            self.driver.record_completion(&mut slot, is_framed, true);
            let service = &self.driver.call.service;
            self.driver.shared.keep_idle(service, &slot.grant().endpoint, connection);
        }
        self.driver.access.set_outcome("served", record::EndedBy::Endpoint);
        self.driver.access.await_write();
    }

    /// Resumes a stream that has broken off at another endpoint; returns whether that was allowed and
    /// possible.
    async fn resume(&mut self, mut failed: ingress::FailedSend) -> bool {
        let after = self.events.last().map(str::to_owned);
        self.leave_source();
        if !self.driver.has_certain_version().await {
            self.driver.handle_replaced_failure(failed);
            return false;
        }
        loop {
            if self.driver.handle_failure(failed) != gateway::RetryAction::Again {
                return false;
            }
            let Ok(slot) = self.driver.acquire_slot().await else { return false };
            let received = self.driver.send(slot, after.as_deref()).await;
            match self.take_over(received, after.as_deref()) {
                Ok(()) => return true,
                Err(again) => failed = again,
            }
        }
    }

    /// Leaves an endpoint that has broken off.
    fn leave_source(&mut self) {
        if let Some(ingress::OpenStream { mut slot, .. }) = self.source.take() {
            slot.set_outcome(gateway::Outcome::Lost);
        }
    }

    /// Goes on with the stream of another endpoint after the event `after`.
    fn take_over(
        &mut self,
        received: Result<ingress::Received, ingress::FailedSend>,
        after: Option<&str>,
    ) -> Result<(), ingress::FailedSend> {
        let opened = match received? {
            ingress::Received::Stream(opened) => *opened,
            ingress::Received::Whole(response, send) => {
                let detail = format!("answered {}", response.status().as_u16());
                return Err(ingress::FailedSend::new(&send, gateway::Failure::Failed, detail));
            }
        };
        self.events.discard_partial();
        self.silent_since = tokio::time::Instant::now();
        let endpoint = std::mem::replace(&mut self.endpoint, opened.slot.grant().endpoint.clone());
        if let Some(silent) = self.source.replace(opened) {
            self.driver.abandon(silent.slot, "no event for too long");
        }
        self.driver.shared.journal.write(&record::Event::Resumed {
            id: self.driver.call.id.clone(),
            endpoint,
            after: after.unwrap_or_default().to_owned(),
        });
        Ok(())
    }
}
