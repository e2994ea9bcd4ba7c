//! Passing on streams of events as they come, over the loss of an endpoint where that is allowed.

use std::time;

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt as _;
use hyper::body;
use trefoildyke_decide::gateway;

use crate::{face, record, state, upstream};

/// After how many usual pauses a resumable stream is looked for elsewhere.
const PATIENCE_GAPS: u32 = 4;

/// The least such patience; callers leave after two seconds or more.
const LEAST_PATIENCE: time::Duration = time::Duration::from_millis(1_200);

/// Starts passing on a stream.
pub(crate) fn stream(
    mut driver: face::Driver,
    answered: face::Answered,
) -> hyper::Response<face::Body> {
    let face::Answered { answer, slot } = answered;
    let (head, body) = answer.response.into_parts();
    let shared = std::sync::Arc::clone(&driver.shared);
    driver.access.begun(head.status.as_u16());
    let source = Source { body, link: answer.link, slot };
    let end = tokio::time::Instant::now() + driver.call.give_up.since(shared.now());
    let relay = Relay {
        driver,
        source: Some(source),
        events: gateway::Events::default(),
        end,
        waits: false,
    };
    let mut headers = head.headers;
    headers.remove(hyper::header::CONTENT_LENGTH);
    let body = face::frames(stream::unfold(Some(relay), next_part));
    face::response_head(&shared, headers, head.status, body)
}

struct Relay {
    driver: face::Driver,
    /// Where events come from; `None` after the end.
    source: Option<Source>,
    events: gateway::Events,
    /// When the stream is cut off.
    end: tokio::time::Instant,
    /// Whether a silence is waited out, since the stream may not be resumed elsewhere.
    waits: bool,
}

struct Source {
    body: body::Incoming,
    link: upstream::Link,
    slot: state::Slot,
}

/// What came of waiting for the next part.
enum Step {
    Part(Bytes),
    End,
    Broken(face::Failed),
    Silent,
    Late,
}

type Part = Option<(Result<Bytes, face::Aborted>, Option<Relay>)>;

async fn next_part(relay: Option<Relay>) -> Part {
    let mut relay = relay?;
    loop {
        match relay.step().await {
            Step::Part(part) => return Some((Ok(part), Some(relay))),
            Step::End => {
                relay.finish();
                return None;
            }
            Step::Late => {
                relay.driver.access.ended("stream_timeout");
                return Some((Err(face::Aborted), None));
            }
            // Silence alone is no reason to end a stream that cannot go on elsewhere.
            Step::Silent if !relay.driver.pay_repeat() => relay.waits = true,
            Step::Silent => {
                let failed = face::Failed::new(gateway::Failure::Lost, "no event for too long");
                if !relay.resume(face::Failed { is_paid: true, ..failed }).await {
                    return relay.broken();
                }
            }
            Step::Broken(failed) => {
                if !relay.resume(failed).await {
                    return relay.broken();
                }
            }
        }
    }
}

impl Relay {
    async fn step(&mut self) -> Step {
        let patience = self.patience();
        let end = self.end;
        let Some(source) = &mut self.source else {
            return Step::Broken(face::Failed::new(gateway::Failure::Lost, "no source"));
        };
        loop {
            let until =
                patience.map_or(end, |patience| end.min(tokio::time::Instant::now() + patience));
            let frame = match tokio::time::timeout_at(until, source.body.frame()).await {
                Ok(frame) => frame,
                Err(_) if until >= end => return Step::Late,
                Err(_) => return Step::Silent,
            };
            match frame {
                None if self.events.is_cut() => {
                    let failed = face::Failed::new(gateway::Failure::Cut, "cut in an event");
                    return Step::Broken(failed);
                }
                None => return Step::End,
                Some(Err(error)) => {
                    let failure = upstream::broken(&error);
                    return Step::Broken(face::Failed::new(failure, error.to_string()));
                }
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    let pause = source.slot.heard();
                    self.driver.access.part(pause);
                    match self.events.push(bytes) {
                        Ok(Some(whole)) => return Step::Part(whole),
                        Ok(None) => {}
                        Err(error) => {
                            let failed =
                                face::Failed::new(gateway::Failure::Lost, error.to_string());
                            return Step::Broken(failed);
                        }
                    }
                }
            }
        }
    }

    /// Returns how long a resumable stream may pause before it is resumed elsewhere.
    fn patience(&self) -> Option<time::Duration> {
        let call = &self.driver.call;
        let is_resumable = call.kind.is_idempotent() && !self.waits;
        is_resumable.then(|| (call.gap * PATIENCE_GAPS).max(LEAST_PATIENCE))
    }

    /// Ends a stream that cannot go on.
    fn broken(mut self) -> Part {
        self.driver.access.ended("stream_broken");
        Some((Err(face::Aborted), None))
    }

    /// Ends a stream that is complete.
    fn finish(mut self) {
        if let Some(Source { link, mut slot, .. }) = self.source.take() {
            slot.set_outcome(gateway::Outcome::Served);
            self.driver.shared.survived(self.driver.call.fingerprint);
            let service = &self.driver.call.service;
            self.driver.shared.keep(service, &slot.grant().endpoint, link);
        }
        self.driver.access.ended("served");
    }

    /// Goes on at another endpoint; says whether that was allowed and possible.
    async fn resume(&mut self, mut failed: face::Failed) -> bool {
        self.events.drop_tail();
        let Some(Source { mut slot, .. }) = self.source.take() else { return false };
        slot.set_outcome(gateway::Outcome::Lost);
        let endpoint = slot.grant().endpoint.clone();
        drop(slot);
        loop {
            if self.driver.next(&failed) != gateway::Next::Again {
                return false;
            }
            let Ok(slot) = self.driver.place().await else { return false };
            let after = self.events.last().map(str::to_owned);
            match self.driver.send(slot, after.as_deref()).await {
                Ok(answered) if answered.answer.response.status().is_success() => {
                    self.take_over(answered, &endpoint, after);
                    return true;
                }
                Ok(answered) => {
                    let status = answered.answer.response.status().as_u16();
                    let detail = format!("answered {status}");
                    failed = face::Failed::new(gateway::Failure::Failed, detail);
                }
                Err(again) => failed = again,
            }
        }
    }

    fn take_over(
        &mut self,
        answered: face::Answered,
        endpoint: &trefoildyke_types::id::EndpointName,
        after: Option<String>,
    ) {
        let face::Answered { answer, slot } = answered;
        let body = answer.response.into_body();
        self.source = Some(Source { body, link: answer.link, slot });
        self.driver.shared.journal.write(&record::Event::Resumed {
            id: self.driver.call.id.clone(),
            endpoint: endpoint.clone(),
            after: after.unwrap_or_default(),
        });
    }
}
