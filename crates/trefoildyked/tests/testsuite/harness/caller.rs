//! A caller of a test.

use std::{net, time};

use trefoildyke_types::{id, request};
use trefoildyke_wire::http;

use super::{Outcome, layout};

const HEAD: time::Duration = time::Duration::from_secs(20);
/// Streams carry a comment line at least every second.
const SILENCE: time::Duration = time::Duration::from_secs(20);

/// Sends requests as a client account does.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caller {
    http: http::Client,
}

/// An open answer.
pub(crate) struct Stream {
    reader: http::EventReader,
    /// Known once the request was accepted.
    pub(crate) id: Option<id::RequestId>,
    pub(crate) tokens: Vec<String>,
    first: u64,
}

/// Returns a fresh identifier of the caller's own.
pub(crate) fn fresh() -> id::RequestId {
    id::RequestId::chosen(uuid::Uuid::now_v7())
}

/// Returns a request for `tokens` tokens.
pub(crate) fn model(tokens: u32) -> request::RequestSpec {
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

/// Returns a call that may not be repeated.
pub(crate) fn letter(id: id::RequestId) -> request::RequestSpec {
    request::RequestSpec {
        id: Some(id),
        pool: "portal".into(),
        target: request::Target::Service("issue-letter".to_owned()),
        max_tokens: 0,
        idempotent: false,
        ..model(1)
    }
}

impl Caller {
    /// Sends a request and reads its answer to the end.
    pub(crate) async fn ask(
        &self,
        daemon: net::SocketAddr,
        spec: &request::RequestSpec,
    ) -> Outcome {
        match self.open(daemon, spec).await {
            Ok(stream) => stream.finish().await,
            Err(outcome) => outcome,
        }
    }

    /// Sends a request; fails with what came in place of a stream.
    pub(crate) async fn open(
        &self,
        daemon: net::SocketAddr,
        spec: &request::RequestSpec,
    ) -> Result<Stream, Outcome> {
        let uri = format!("http://{daemon}/v1/requests");
        let request = http::json_request(hyper::Method::POST, &uri, spec).unwrap();
        self.send(request, spec.offset).await
    }

    /// Comes back to an answer by its identifier.
    pub(crate) async fn come_back(
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
        first: u64,
    ) -> Result<Stream, Outcome> {
        let key = format!("Bearer {}", layout::KEY).parse().unwrap();
        request.headers_mut().insert(hyper::header::AUTHORIZATION, key);
        let Ok(response) = self.http.open(request, HEAD).await else {
            return Err(Outcome::Broken(None, 0));
        };
        if response.status() != hyper::StatusCode::OK {
            let read = http::read_json(response.into_body(), 1 << 20, HEAD).await;
            return Err(read.map_or(Outcome::Broken(None, 0), Outcome::Refused));
        }
        let reader = http::EventReader::new(response.into_body(), 1 << 20);
        Ok(Stream { reader, id: None, tokens: vec![], first })
    }
}

impl Stream {
    /// Reads until at least `count` tokens have come; says whether they have.
    pub(crate) async fn read_tokens(&mut self, count: usize) -> bool {
        while self.tokens.len() < count {
            if self.step().await.is_some() {
                return false;
            }
        }
        true
    }

    /// Reads until the request was accepted and returns its identifier.
    pub(crate) async fn accepted(&mut self) -> id::RequestId {
        while self.id.is_none() {
            assert_eq!(self.step().await, None);
        }
        self.id.unwrap()
    }

    /// Reads to the end.
    pub(crate) async fn finish(mut self) -> Outcome {
        self.run().await
    }

    /// Reads to the end; the tokens stay.
    pub(crate) async fn run(&mut self) -> Outcome {
        loop {
            if let Some(outcome) = self.step().await {
                return outcome;
            }
        }
    }

    /// Reads one event; returns the outcome if it was the last.
    async fn step(&mut self) -> Option<Outcome> {
        match self.reader.next(SILENCE).await {
            Ok(Some(http::Event::Comment)) => None,
            Ok(Some(http::Event::Message { name, data })) => self.take(&name, &data),
            Ok(None) | Err(_) => Some(Outcome::Broken(self.id, self.tokens.len() as u64)),
        }
    }

    fn take(&mut self, name: &str, data: &str) -> Option<Outcome> {
        match name {
            "accepted" => {
                let accepted: serde_json::Value = serde_json::from_str(data).unwrap();
                self.id = Some(accepted["id"].as_str().unwrap().parse().unwrap());
                None
            }
            "refused" => Some(Outcome::Refused(serde_json::from_str(data).unwrap())),
            _ => self.chunk(serde_json::from_str(data).unwrap()),
        }
    }

    /// Takes a chunk, which must answer this request and continue it without a gap.
    fn chunk(&mut self, chunk: request::Chunk) -> Option<Outcome> {
        let id = self.id.expect("accepted comes first");
        assert_eq!(chunk.id, id, "a foreign answer");
        assert_eq!(chunk.offset, self.first + self.tokens.len() as u64, "a gap or an overlap");
        self.tokens.extend(chunk.tokens);
        chunk.finish.map(|finish| {
            assert_eq!(finish, request::Finish::Whole);
            Outcome::Whole(id, self.tokens.clone())
        })
    }
}

/// Returns the whole answer that an engine gives to a request, from token `first` on.
pub(crate) fn expected(id: id::RequestId, first: u64, count: u32) -> Vec<String> {
    (first..u64::from(count)).map(|number| testbed::engine::token(&id, number)).collect()
}
