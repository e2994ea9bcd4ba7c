//! Routing, authentication and responses of the HTTP API for callers.

use std::sync;

use hyper::{Method, StatusCode, body, header};
use sha2::Digest;
use trefoildyke_decide::{config as decided, coordinate};
use trefoildyke_kernel as kernel;
use trefoildyke_types::{id, request};
use trefoildyke_wire::http;

use crate::{
    callers::{Answer, Coordinator, check, reply, stream},
    config, settings,
};

/// How many events of one answer are buffered for a slow caller.
const EVENT_BUFFER: usize = 64;
/// The retry delay in refusals of a daemon that has no configuration yet, in milliseconds.
const STARTING_RETRY_MS: u64 = 200;

type Reply = Result<hyper::Response<http::Body>, request::Refusal>;

/// The HTTP API for callers.
pub struct Api {
    settings: settings::Callers,
    config: config::Handle,
    coordinator: Coordinator,
    /// Runs the tasks that write event streams.
    streams: kernel::Scope,
}

impl Api {
    /// Creates the API, which uses the configuration and the coordinator; `streams` runs the stream tasks.
    pub const fn new(
        settings: settings::Callers,
        config: config::Handle,
        coordinator: Coordinator,
        streams: kernel::Scope,
    ) -> Self {
        Self { settings, config, coordinator, streams }
    }

    /// Answers one call; a refusal becomes a response.
    ///
    /// # Errors
    ///
    /// Never returns an error; [`http::Server`] requires the type.
    pub async fn answer(
        self: sync::Arc<Self>,
        call: http::Call,
    ) -> Result<hyper::Response<http::Body>, http::Aborted> {
        let answer = self.route(call.request).await;
        Ok(answer.unwrap_or_else(|refusal| reply::refusal(&refusal)))
    }

    async fn route(&self, request: hyper::Request<body::Incoming>) -> Reply {
        let (parts, body) = request.into_parts();
        let segments: Vec<_> = parts.uri.path().split('/').skip(1).collect();
        match (&parts.method, segments.as_slice()) {
            (&Method::GET, ["v1", "health"]) => Ok(self.health()),
            (&Method::POST, ["v1", "requests"]) if !self.is_configured() => {
                Err(self.refuse_unconfigured(body).await)
            }
            (&Method::GET, ["v1", "requests", _]) if !self.is_configured() => Err(not_ready(true)),
            (&Method::POST, ["v1", "requests"]) => {
                let account = self.authorize(&parts.headers)?;
                self.submit(&account, body).await
            }
            (&Method::GET, ["v1", "requests", id]) => {
                let account = self.authorize(&parts.headers)?;
                self.resume(account, id, parts.uri.query()).await
            }
            (method, _) => {
                let remedy = format!(
                    "there is no call {method} {}; use POST /v1/requests or GET /v1/requests/ID",
                    parts.uri.path()
                );
                Err(request::Refusal::new(request::RefusalKind::Invalid, "no_such_call", remedy))
            }
        }
    }

    /// Returns whether this daemon has received a configuration; before that it knows no API keys.
    fn is_configured(&self) -> bool {
        self.config.snapshot().version() > 0
    }

    fn health(&self) -> hyper::Response<http::Body> {
        match self.is_configured() {
            true => http::json(StatusCode::OK, &"ok"),
            false => http::json(StatusCode::SERVICE_UNAVAILABLE, &"starting"),
        }
    }

    /// Returns the refusal of a request that arrived before the configuration.
    ///
    /// A possible retry is refused with an unknown outcome, because an earlier attempt may have run on
    /// another daemon. A body that cannot be read counts as a possible retry.
    async fn refuse_unconfigured(&self, body: body::Incoming) -> request::Refusal {
        let limit = self.settings.body_bytes;
        let spec = http::read_json(body, limit, self.settings.body_wait()).await;
        not_ready(spec.map_or(true, |spec| coordinate::Arrival::new(&spec).may_be_retry()))
    }

    fn authorize(&self, headers: &hyper::HeaderMap) -> Result<id::AccountName, request::Refusal> {
        let header = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let key = header.and_then(|value| value.strip_prefix("Bearer "));
        let account = key.and_then(|key| {
            // Only hashes are compared, so the duration of the comparison reveals nothing about a key.
            let hash = decided::KeyHash::new(sha2::Sha256::digest(key.as_bytes()).into());
            self.config.snapshot().account_by_key(&hash).cloned()
        });
        account.ok_or_else(|| {
            request::Refusal::new(
                request::RefusalKind::Unauthorized,
                "bad_key",
                "send `Authorization: Bearer KEY` with a key of a client account",
            )
        })
    }

    async fn submit(&self, account: &id::AccountName, body: body::Incoming) -> Reply {
        let limit = self.settings.body_bytes;
        let spec: request::RequestSpec = http::read_json(body, limit, self.settings.body_wait())
            .await
            .map_err(|error| reply::body_refusal(&error))?;
        let submission = check::submission(&self.config.snapshot(), account, spec)?;
        let answer = (self.coordinator.submit)(submission).await?;
        Ok(self.stream(answer))
    }

    async fn resume(&self, account: id::AccountName, id: &str, query: Option<&str>) -> Reply {
        let id = id.parse().map_err(|error: id::IdError| {
            request::Refusal::new(request::RefusalKind::Invalid, "bad_id", error.to_string())
        })?;
        let answer =
            (self.coordinator.resume)(id::RequestKey { account, id }, parse_offset(query)?).await?;
        Ok(self.stream(answer))
    }

    fn stream(&self, answer: Answer) -> hyper::Response<http::Body> {
        let (sender, response) = http::EventSender::new(EVENT_BUFFER);
        let shutdown = self.streams.token().clone();
        self.streams
            .spawn_isolated("stream", stream::run(sender, answer, self.settings.beat(), shutdown));
        response
    }
}

/// Returns the refusal of a daemon that has no configuration yet.
fn not_ready(may_be_retry: bool) -> request::Refusal {
    let kind = match may_be_retry {
        true => request::RefusalKind::OutcomeUnknown,
        false => request::RefusalKind::NotRun,
    };
    let remedy = "this daemon has just started and knows no configuration: try another host";
    request::Refusal::new(kind, "starting", remedy).retry_after(STARTING_RETRY_MS)
}

fn parse_offset(query: Option<&str>) -> Result<u64, request::Refusal> {
    let Some(query) = query else {
        return Ok(0);
    };
    query.strip_prefix("offset=").and_then(|text| text.parse().ok()).ok_or_else(|| {
        let remedy = "send `?offset=N` with the first output offset that is missing, or nothing";
        request::Refusal::new(request::RefusalKind::Invalid, "bad_offset", remedy)
    })
}
