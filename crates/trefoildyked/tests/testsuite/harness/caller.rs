//! A caller that sends requests to daemons.

use std::{net, time};

use trefoildyke_types::{id, request};
use trefoildyke_wire::http;

use super::{Outcome, layout};

/// The time limit for the head of a response, and for the body of a refusal.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// The time limit between two events of a stream, which carries a comment at least every second.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Sends requests as a client account does.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caller {
    http: http::Client,
}

/// An open response stream.
pub(crate) struct Stream {
    reader: http::EventReader,
    /// The identifier, known once the request is accepted.
    pub(crate) id: Option<id::RequestId>,
    pub(crate) tokens: Vec<String>,
    /// The offset of the first requested token.
    offset: u64,
}

/// Returns a new identifier chosen by the caller.
pub(crate) fn new_id() -> id::RequestId {
    id::RequestId::chosen(uuid::Uuid::now_v7())
}

/// Returns a request to a model for `tokens` tokens.
pub(crate) fn model_request(tokens: u32) -> request::RequestSpec {
    request::RequestSpec {
        id: None,
        pool: "assistant".into(),
        target: request::Target::Model("assistant".into()),
        class: "determination".to_owned(),
        input: "Is the household eligible?".to_owned(),
        prompt_tokens: Some(64),
        prefix: vec![],
        max_tokens: tokens,
        idempotent: true,
        deadline_ms: None,
        attempt: 1,
        offset: 0,
    }
}

/// Returns a non-idempotent request to a service.
pub(crate) fn service_request(id: id::RequestId) -> request::RequestSpec {
    request::RequestSpec {
        id: Some(id),
        pool: "portal".into(),
        target: request::Target::Service("issue-letter".to_owned()),
        max_tokens: 0,
        idempotent: false,
        ..model_request(1)
    }
}

impl Caller {
    /// Sends a request and reads its answer to the end.
    pub(crate) async fn call(
        &self,
        daemon: net::SocketAddr,
        spec: &request::RequestSpec,
    ) -> Outcome {
        match self.open(daemon, spec).await {
            Ok(stream) => stream.finish().await,
            Err(outcome) => outcome,
        }
    }

    /// Sends a request and opens its stream; fails with the outcome if there is no stream.
    pub(crate) async fn open(
        &self,
        daemon: net::SocketAddr,
        spec: &request::RequestSpec,
    ) -> Result<Stream, Outcome> {
        let uri = format!("http://{daemon}/v1/requests");
        let request = http::json_request(hyper::Method::POST, &uri, spec).unwrap();
        self.send(request, spec.offset).await
    }

    /// Resumes the stream of a request by its identifier.
    pub(crate) async fn resume(
        &self,
        daemon: net::SocketAddr,
        id: id::RequestId,
        offset: u64,
    ) -> Result<Stream, Outcome> {
        let uri = format!("http://{daemon}/v1/requests/{id}?offset={offset}");
        let request = hyper::Request::get(uri).body(bytes::Bytes::new()).unwrap();
        self.send(request, offset).await
    }

    async fn send(
        &self,
        mut request: hyper::Request<bytes::Bytes>,
        offset: u64,
    ) -> Result<Stream, Outcome> {
        let key = format!("Bearer {}", layout::KEY).parse().unwrap();
        request.headers_mut().insert(hyper::header::AUTHORIZATION, key);
        let Ok(response) = self.http.open(request, HEAD_TIMEOUT).await else {
            return Err(Outcome::Broken(None, 0));
        };
        if response.status() != hyper::StatusCode::OK {
            let read = http::read_json(response.into_body(), 1 << 20, HEAD_TIMEOUT).await;
            return Err(read.map_or(Outcome::Broken(None, 0), Outcome::Refused));
        }
        let reader = http::EventReader::new(response.into_body(), 1 << 20);
        Ok(Stream { reader, id: None, tokens: vec![], offset })
    }
}

impl Stream {
    /// Reads until at least `count` tokens have arrived; returns false if the stream ends before.
    pub(crate) async fn read_tokens(&mut self, count: usize) -> bool {
        while self.tokens.len() < count {
            if self.read_event().await.is_some() {
                return false;
            }
        }
        true
    }

    /// Reads until the request is accepted and returns its identifier.
    pub(crate) async fn wait_accepted(&mut self) -> id::RequestId {
        while self.id.is_none() {
            assert_eq!(self.read_event().await, None);
        }
        self.id.unwrap()
    }

    /// Reads to the end and returns the outcome.
    pub(crate) async fn finish(mut self) -> Outcome {
        self.read_to_end().await
    }

    /// Reads to the end and returns the outcome; the tokens stay available.
    pub(crate) async fn read_to_end(&mut self) -> Outcome {
        loop {
            if let Some(outcome) = self.read_event().await {
                return outcome;
            }
        }
    }

    /// Reads one event; returns the outcome if it was the last event.
    async fn read_event(&mut self) -> Option<Outcome> {
        match self.reader.next(IDLE_TIMEOUT).await {
            Ok(Some(http::Event::Comment)) => None,
            Ok(Some(http::Event::Message { name, data })) => self.handle_message(&name, &data),
            Ok(None) | Err(_) => Some(Outcome::Broken(self.id, self.tokens.len() as u64)),
        }
    }

    fn handle_message(&mut self, name: &str, data: &str) -> Option<Outcome> {
        match name {
            "accepted" => {
                let accepted: serde_json::Value = serde_json::from_str(data).unwrap();
                self.id = Some(accepted["id"].as_str().unwrap().parse().unwrap());
                None
            }
            "refused" => Some(Outcome::Refused(serde_json::from_str(data).unwrap())),
            _ => self.handle_chunk(serde_json::from_str(data).unwrap()),
        }
    }

    /// Adds the tokens of a chunk, which must belong to this request and follow the last one without a gap.
    fn handle_chunk(&mut self, chunk: request::Chunk) -> Option<Outcome> {
        let id = self.id.expect("the first event is `accepted`");
        assert_eq!(chunk.id, id, "an answer to another request");
        assert_eq!(chunk.offset, self.offset + self.tokens.len() as u64, "a gap or an overlap");
        self.tokens.extend(chunk.tokens);
        chunk.finish.map(|finish| {
            assert_eq!(finish, request::Finish::Whole);
            Outcome::Complete(id, self.tokens.clone())
        })
    }
}

/// Returns the tokens that an engine sends for a request of `count` tokens, from token `offset` on.
pub(crate) fn expected_tokens(id: id::RequestId, offset: u64, count: u32) -> Vec<String> {
    (offset..u64::from(count)).map(|number| testbed::engine::token(&id, number)).collect()
}
