//! Forwards streams of events as they come, and resumes them at another endpoint where that is allowed.

use std::time;

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt as _;
use hyper::body;
use trefoildyke_decide::gateway;

use crate::{ingress, record, state, upstream};

/// The number of the route's `gap_ms` periods without an event after which a resumable stream is resumed
/// elsewhere.
const SILENCE_GAPS: u32 = 4;

/// The shortest time without an event after which a stream is resumed elsewhere; callers leave after two
/// seconds or more.
const MIN_SILENCE: time::Duration = time::Duration::from_millis(1_200);

/// Starts forwarding a stream.
pub(crate) fn stream(
    mut driver: ingress::Driver,
    answered: ingress::OpenAnswer,
) -> hyper::Response<ingress::Body> {
    let ingress::OpenAnswer { answer, slot } = answered;
    let (head, body) = answer.response.into_parts();
    let shared = std::sync::Arc::clone(&driver.shared);
    driver.access.begin_answer(head.status.as_u16());
    let source = Source { body, connection: answer.connection, slot };
    let end = tokio::time::Instant::now() + driver.call.answer_due.since(shared.now());
    let relay = Relay {
        driver,
        source: Some(source),
        events: gateway::EventSplitter::default(),
        end,
        ignores_silence: false,
    };
    let mut headers = head.headers;
    headers.remove(hyper::header::CONTENT_LENGTH);
    let body = ingress::frames(stream::unfold(Some(relay), next_part));
    ingress::response_head(&shared, headers, head.status, body)
}

struct Relay {
    driver: ingress::Driver,
    /// The source of the events; `None` after the end.
    source: Option<Source>,
    events: gateway::EventSplitter,
    /// When the stream is cut off.
    end: tokio::time::Instant,
    /// Whether to keep waiting however long the stream is silent, because the retry budget did not allow a
    /// resumption.
    ignores_silence: bool,
}

struct Source {
    body: body::Incoming,
    connection: upstream::Connection,
    slot: state::Slot,
}

/// The result of waiting for the next part.
enum Step {
    Part(Bytes),
    End,
    Broken(ingress::FailedSend),
    Silent,
    Late,
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
            Step::Late => {
                relay.driver.access.set_outcome("stream_timeout");
                return Some((Err(ingress::Aborted), None));
            }
            // A stream that cannot be resumed elsewhere is not ended for silence alone.
            Step::Silent if !relay.driver.has_untried_endpoint() => {}
            Step::Silent if !relay.driver.reserve_resend() => relay.ignores_silence = true,
            Step::Silent => {
                let failed =
                    ingress::FailedSend::new(gateway::Failure::Lost, "no event for too long");
                if !relay.resume(ingress::FailedSend { is_reserved: true, ..failed }).await {
                    return relay.abort();
                }
            }
            Step::Broken(failed) => {
                if !relay.resume(failed).await {
                    return relay.abort();
                }
            }
        }
    }
}

impl Relay {
    async fn next_step(&mut self) -> Step {
        let silence_limit = self.silence_limit();
        let end = self.end;
        let Some(source) = &mut self.source else {
            return Step::Broken(ingress::FailedSend::new(gateway::Failure::Lost, "no source"));
        };
        loop {
            let until = silence_limit
                .map_or(end, |silence_limit| end.min(tokio::time::Instant::now() + silence_limit));
            let frame = match tokio::time::timeout_at(until, source.body.frame()).await {
                Ok(frame) => frame,
                Err(_) if until >= end => return Step::Late,
                Err(_) => return Step::Silent,
            };
            match frame {
                None if self.events.has_partial() => {
                    let failed = ingress::FailedSend::new(gateway::Failure::Cut, "cut in an event");
                    return Step::Broken(failed);
                }
                // An endpoint that crashes also ends an answer without framing, which is then empty.
                None if self.driver.access.is_unframed() && !self.driver.has_begun() => {
                    let failed = ingress::FailedSend::new(gateway::Failure::Cut, "no event");
                    return Step::Broken(failed);
                }
                None => return Step::End,
                Some(Err(error)) => {
                    let failure = upstream::classify_error(&error);
                    return Step::Broken(ingress::FailedSend::new(failure, error.to_string()));
                }
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    let pause = source.slot.record_part();
                    self.driver.access.record_part(pause);
                    self.driver.record_progress();
                    match self.events.push(bytes) {
                        Ok(Some(whole)) => return Step::Part(whole),
                        Ok(None) => {}
                        Err(error) => {
                            let failed =
                                ingress::FailedSend::new(gateway::Failure::Lost, error.to_string());
                            return Step::Broken(failed);
                        }
                    }
                }
            }
        }
    }

    /// Returns how long a resumable stream may be silent before it is resumed elsewhere.
    fn silence_limit(&self) -> Option<time::Duration> {
        let call = &self.driver.call;
        let is_resumable = call.kind.is_idempotent() && !self.ignores_silence;
        is_resumable.then(|| (call.max_pause * SILENCE_GAPS).max(MIN_SILENCE))
    }

    /// Aborts a stream that cannot be resumed.
    fn abort(mut self) -> NextPart {
        self.driver.access.set_outcome("stream_broken");
        Some((Err(ingress::Aborted), None))
    }

    /// Ends a stream that is complete.
    fn finish(mut self) {
        if let Some(Source { connection, mut slot, .. }) = self.source.take() {
            slot.set_outcome(gateway::Outcome::Served);
            self.driver.record_completion(true);
            let service = &self.driver.call.service;
            self.driver.shared.keep_idle(service, &slot.grant().endpoint, connection);
        }
        self.driver.access.set_outcome("served");
    }

    /// Resumes the stream at another endpoint; returns whether that was allowed and possible.
    async fn resume(&mut self, mut failed: ingress::FailedSend) -> bool {
        self.events.discard_partial();
        let Some(Source { mut slot, .. }) = self.source.take() else { return false };
        slot.set_outcome(gateway::Outcome::Lost);
        let endpoint = slot.grant().endpoint.clone();
        drop(slot);
        loop {
            if self.driver.handle_failure(&failed) != gateway::RetryAction::Again {
                return false;
            }
            let Ok(slot) = self.driver.acquire_slot().await else { return false };
            let after = self.events.last().map(str::to_owned);
            match self.driver.send(slot, after.as_deref()).await {
                Ok(answered) if answered.answer.response.status().is_success() => {
                    self.switch_source(answered, &endpoint, after);
                    return true;
                }
                Ok(answered) => {
                    let status = answered.answer.response.status().as_u16();
                    let detail = format!("answered {status}");
                    failed = ingress::FailedSend::new(gateway::Failure::Failed, detail);
                }
                Err(again) => failed = again,
            }
        }
    }

    fn switch_source(
        &mut self,
        answered: ingress::OpenAnswer,
        endpoint: &trefoildyke_types::id::EndpointName,
        after: Option<String>,
    ) {
        let ingress::OpenAnswer { answer, slot } = answered;
        let body = answer.response.into_body();
        self.source = Some(Source { body, connection: answer.connection, slot });
        self.driver.shared.journal.write(&record::Event::Resumed {
            id: self.driver.call.id.clone(),
            endpoint: endpoint.clone(),
            after: after.unwrap_or_default(),
        });
    }
}
