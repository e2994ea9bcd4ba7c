//! Reads and admits requests.

use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{StatusCode, body, header};
use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::{charging, ingress, names, record, state};

/// The `Retry-After` for a caller that came before the configuration was known.
const STARTUP_RETRY: time::Duration = time::Duration::from_millis(500);

/// The `Retry-After` for a caller whose key cannot be checked: its next connection reaches another host,
/// which most likely can check it.
const KEY_RETRY: time::Duration = time::Duration::from_millis(100);

/// The `Retry-After` for a caller whose client account may be one that could not be read, here or at other hosts.
const ACCOUNT_RETRY: time::Duration = time::Duration::from_secs(1);

/// The answer to a request whose body is over the limit.
const TOO_LARGE: ingress::Reply =
    ingress::Reply::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large").closing();

/// The `Retry-After` if there is no memory for the body: its next connection reaches another host.
const MEMORY_RETRY: time::Duration = time::Duration::from_millis(300);

/// The share of the caller's wait for which its body waits for memory, and the longest such time. Callers give
/// up on a host that has not read their request after a third of their wait or a second.
const MEMORY_WAIT_SHARE: f64 = 0.2;
const MAX_MEMORY_WAIT: time::Duration = time::Duration::from_millis(500);

/// The deadline of a caller that sends none.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(60);

/// An admitted request and the inputs for handling it.
pub(crate) struct Call {
    pub(crate) id: String,
    /// Identifies repeats of the same request, whatever their ids.
    pub(crate) fingerprint: gateway::Fingerprint,
    /// The request for the endpoint, without the headers that are added for each send.
    pub(crate) request: hyper::Request<Full<Bytes>>,
    pub(crate) service: id::PoolName,
    pub(crate) kind: gateway::RouteKind,
    pub(crate) attempts: u32,
    pub(crate) max_pause: time::Duration,
    pub(crate) rank: u8,
    /// The hash of the name of the route.
    pub(crate) route: u32,
    /// The latest time at which the first event still meets the latency objective.
    pub(crate) objective: Timestamp,
    /// How long the caller waits for the first or the next event; `None` if it waits until its deadline.
    pub(crate) patience: Option<time::Duration>,
    /// When the caller leaves if it receives nothing before.
    pub(crate) leaves_at: Timestamp,
    /// Whether the caller was refused before.
    pub(crate) returning: bool,
    /// When the caller stops waiting.
    pub(crate) deadline: Timestamp,
    /// When the final answer is due: at the route's timeout or the deadline, whichever is first.
    pub(crate) answer_due: Timestamp,
    pub(crate) prompt: u32,
    /// The parts of the prompt that other requests may share as a prefix.
    pub(crate) parts: Vec<gateway::PromptPart>,
    /// The parts of the prompt that other requests may share, wherever they stand.
    pub(crate) shared_parts: Vec<gateway::PartKey>,
    /// The expected length of the answer in tokens.
    pub(crate) expected: f64,
    /// The charge to the account's quota, until it is refunded.
    pub(crate) reservation: Option<charging::QuotaReservation>,
    /// The memory for the body, until the request has been answered.
    pub(crate) _memory: ingress::BodyReservation,
    /// The stream, if it may be resumed.
    pub(crate) stream: Option<ResumableStream>,
}

/// A stream that may be resumed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResumableStream {
    pub(crate) id: gateway::StreamId,
    /// Whether the caller has received events of it.
    pub(crate) is_resumed: bool,
}

/// The result of admission, which looks only at the head.
struct Admission {
    service: id::PoolName,
    account: Option<gateway::Account>,
    route: gateway::Route,
    body_limit: usize,
    body_timeout: time::Duration,
}

impl Call {
    /// Admits a request by its head, reads its body and charges its cost to the quota.
    ///
    /// Records in `access` what is found out, also for a request that is refused.
    pub(crate) async fn read(
        shared: &state::Shared,
        access: &mut ingress::AccessLogEntry,
        head: &http::request::Parts,
        body: &mut body::Incoming,
    ) -> Result<Self, ingress::Reply> {
        let names = &shared.settings.names;
        let admitted = admit(shared, access, head);
        let admission = admitted.map_err(|reply| refuse_unread(reply, head))?;
        let id = access.id().to_owned();
        let wait_limit = names::number(&head.headers, &names.deadline);
        let wait_limit = wait_limit.map_or(DEFAULT_DEADLINE, time::Duration::from_millis);
        let patience = wait_limit.mul_f64(MEMORY_WAIT_SHARE).min(MAX_MEMORY_WAIT);
        let ingress::KeptBody { bytes: body, reservation: memory } =
            read_body(shared, &admission, body, patience).await?;
        let fingerprint = admission.fingerprint(head, &body);
        let tokens = parse_tokens(names::text(&head.headers, &names.tokens));
        let arrived = access.arrived();
        let route = &admission.route;
        let limit = wait_limit.min(time::Duration::from_millis(route.timeout_ms));
        let (prompt, max_tokens) = tokens.unwrap_or((0, 0));
        let model = names::text(&head.headers, &names.model).unwrap_or_default();
        let parts = names::text(&head.headers, &names.prompt_parts);
        let shared_parts =
            parts.map_or_else(Vec::new, |text| gateway::shared_part_keys(&admission.service, text));
        let parts = parts.map_or_else(Vec::new, |text| gateway::prompt_parts(model, text));
        let patience = route.patience_ms.map(time::Duration::from_millis);
        let expected =
            expected_tokens(max_tokens, names::number(&head.headers, &names.length_hint));
        let time_spent = shared.core().deadlines.time_spent(&route.name, wait_limit);
        let cost = admission.cost(tokens);
        let rank = rank(route, admission.account.as_ref());
        access.set_asked(record::RequestInputs {
            fingerprint: Some(fingerprint),
            parts: shared_parts.clone(),
            rank: Some(rank),
            prompt,
            expected: expected as u32,
            cost: cost as u32,
            returning: !time_spent.is_zero(),
            objective_ms: route.objective_ms,
            limit_ms: limit.as_millis() as u64,
            deadline_ms: wait_limit.as_millis() as u64,
        });
        // Checked before the charge, so that a quarantined request, which is not sent to any endpoint, costs
        // its account nothing.
        let quarantined = shared.quarantined_for(fingerprint);
        if let Some(after) = quarantined.or_else(|| shared.parts_quarantined_for(&shared_parts)) {
            return Err(ingress::Reply::not_run(ingress::QUARANTINED, after));
        }
        let reservation = charge(shared, &admission, cost).await?;
        let stream = admission.stream(names, head, &id);
        let mut request = ingress::endpoint_request(names, head, body);
        if let Some(account) = &admission.account
            && let Ok(value) = header::HeaderValue::from_str(account.name.as_str())
        {
            request.headers_mut().insert(names.account.clone(), value);
        }
        Ok(Self {
            id,
            fingerprint,
            request,
            service: admission.service,
            kind: route.kind,
            attempts: route.attempts,
            max_pause: time::Duration::from_millis(route.gap_ms),
            rank,
            route: route.name_hash(),
            objective: arrived
                + time::Duration::from_millis(route.objective_ms).saturating_sub(time_spent),
            patience,
            leaves_at: arrived + patience.map_or(limit, |patience| patience.min(limit)),
            returning: !time_spent.is_zero(),
            deadline: arrived + wait_limit,
            answer_due: arrived + limit,
            prompt,
            parts,
            shared_parts,
            expected,
            reservation,
            _memory: memory,
            stream,
        })
    }
}

/// The number of route priorities that are distinguished within one account priority.
const ROUTE_RANKS: u8 = 8;

/// Returns the rank: by the client account's priority, or the route's if the account has none, then by the
/// route's.
fn rank(route: &gateway::Route, account: Option<&gateway::Account>) -> u8 {
    let first = account.and_then(|account| account.priority).unwrap_or(route.priority);
    first.min(ROUTE_RANKS - 1) * ROUTE_RANKS + route.priority.min(ROUTE_RANKS - 1)
}

fn admit(
    shared: &state::Shared,
    access: &mut ingress::AccessLogEntry,
    head: &http::request::Parts,
) -> Result<Admission, ingress::Reply> {
    let (table, is_confirmed, is_overdue) = {
        let (now, core) = (shared.now(), shared.core());
        let is_confirmed = core.freshness.is_confirmed(now);
        (core.table.clone(), is_confirmed, core.version_lag.is_overdue(now))
    };
    let Some(table) = table else {
        return Err(ingress::Reply::not_run("starting", STARTUP_RETRY));
    };
    let config = table.config();
    access.set_version(config.version);
    if is_overdue {
        return Err(ingress::Reply::not_run("outdated", KEY_RETRY).closing());
    }
    let names = &shared.settings.names;
    let route = find_route(&table, head);
    let key = names::key(&head.headers, &names.key);
    let admitted = table.admit(route, key, is_confirmed);
    let account = admitted.ok().and_then(|admitted| admitted.account);
    access.set_route(route, account);
    let admitted = admitted.map_err(denial)?;
    if access.id().is_empty() {
        return Err(ingress::Reply::new(StatusCode::BAD_REQUEST, "request_id_missing"));
    }
    let service = admitted.route.pick(rand::random());
    let service = service.ok_or(ingress::Reply::not_run("no_service", STARTUP_RETRY))?;
    Ok(Admission {
        service: service.clone(),
        account: admitted.account.cloned(),
        route: admitted.route.clone(),
        body_limit: config.limits.body_bytes,
        body_timeout: time::Duration::from_millis(config.limits.header_ms),
    })
}

fn find_route<'a>(
    table: &'a gateway::Table,
    head: &http::request::Parts,
) -> Option<&'a gateway::Route> {
    let host = names::text(&head.headers, &header::HOST);
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    table.route(host, head.uri.path())
}

fn denial(denied: gateway::Denied) -> ingress::Reply {
    match denied {
        gateway::Denied::NoRoute => ingress::Reply::new(StatusCode::NOT_FOUND, "no_route"),
        gateway::Denied::NoKey => ingress::Reply::new(StatusCode::UNAUTHORIZED, "unknown_key"),
        gateway::Denied::Unreadable => ingress::Reply::not_run("account_unreadable", ACCOUNT_RETRY),
        gateway::Denied::Unconfirmed => ingress::Reply::not_run("unconfirmed", KEY_RETRY).closing(),
    }
}

/// Makes the connection of a refused request close if its caller waits before it sends the body, as that
/// caller may not send the body any more.
fn refuse_unread(reply: ingress::Reply, head: &http::request::Parts) -> ingress::Reply {
    if head.headers.contains_key(header::EXPECT) { reply.closing() } else { reply }
}

async fn read_body(
    shared: &state::Shared,
    admission: &Admission,
    body: &mut body::Incoming,
    patience: time::Duration,
) -> Result<ingress::KeptBody, ingress::Reply> {
    let body = shared.bodies.read(body, admission.body_limit, patience);
    let body = tokio::time::timeout(admission.body_timeout, body).await;
    let body =
        body.map_err(|_| ingress::Reply::new(StatusCode::REQUEST_TIMEOUT, "body_slow").closing())?;
    body.map_err(|error| match error {
        ingress::BodyError::TooLong => TOO_LARGE,
        ingress::BodyError::NoMemory => {
            ingress::Reply::not_run("body_memory", MEMORY_RETRY).closing()
        }
        ingress::BodyError::Broken(_) => {
            ingress::Reply::new(StatusCode::BAD_REQUEST, "body_broken").closing()
        }
    })
}

impl Admission {
    /// Returns the fingerprint that is equal for repeats of the same request, whatever their ids.
    fn fingerprint(&self, head: &http::request::Parts, body: &[u8]) -> gateway::Fingerprint {
        let account = self.account.as_ref().map(|account| &account.name);
        let host = head.headers.get(header::HOST).map(header::HeaderValue::as_bytes);
        let host = host.unwrap_or_default().to_ascii_lowercase();
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
        let parts = [head.method.as_str().as_bytes(), &host, target.as_bytes(), body];
        gateway::Fingerprint::of(account, parts)
    }

    /// Returns the stream that the request `id` begins or resumes, if it may be resumed.
    ///
    /// A request that resumes a stream without naming the attempt that began it resumes an unknown one.
    fn stream(
        &self,
        names: &names::HeaderNames,
        head: &http::request::Parts,
        id: &str,
    ) -> Option<ResumableStream> {
        if self.route.kind != (gateway::RouteKind::Stream { resumable: true }) {
            return None;
        }
        let is_resumed = head.headers.contains_key(&names.last_event);
        let resumed = names::text(&head.headers, &names.resumes).filter(|_| is_resumed);
        let account = self.account.as_ref().map(|account| &account.name);
        let id = gateway::StreamId::of(&self.service, account, resumed.unwrap_or(id));
        Some(ResumableStream { id, is_resumed })
    }

    /// Returns what the request costs its account's quota.
    fn cost(&self, tokens: Option<(u32, u32)>) -> f64 {
        let declared = tokens.map(|(prompt, max_tokens)| prompt.saturating_add(max_tokens));
        self.account.as_ref().map_or(0.0, |account| account.cost(declared))
    }
}

async fn charge(
    shared: &state::Shared,
    admission: &Admission,
    cost: f64,
) -> Result<Option<charging::QuotaReservation>, ingress::Reply> {
    let Some(account) = admission.account.as_ref().filter(|account| account.rate > 0.0) else {
        return Ok(None);
    };
    let charged = charging::charge(shared, account, cost).await;
    charged.map(Some).map_err(|error| match error {
        charging::ChargeError::QuotaExceeded { wait } => {
            let wait = time::Duration::from_secs_f64(wait.clamp(0.2, 60.0));
            let reply = ingress::Reply::new(StatusCode::TOO_MANY_REQUESTS, "quota");
            ingress::Reply { retry_after: Some(wait), ..reply }
        }
        charging::ChargeError::Unlisted => ingress::Reply::not_run("unlisted", KEY_RETRY).closing(),
    })
}

/// The mean of the actual lengths relative to the callers' estimates, which are right at the median and
/// often far off.
const HINT_BIAS: f64 = 1.15;

/// The share of the declared maximum that an answer without an estimate is expected to use.
const UNHINTED_SHARE: f64 = 0.1;

/// Returns the expected number of tokens of the answer.
fn expected_tokens(limit: u32, hint: Option<u64>) -> f64 {
    let limit = f64::from(limit);
    hint.map_or(limit * UNHINTED_SHARE, |hint| (hint as f64 * HINT_BIAS).min(limit))
}

/// Parses the declared tokens: those of the prompt and the maximum to generate.
fn parse_tokens(text: Option<&str>) -> Option<(u32, u32)> {
    let (prompt, max_tokens) = text?.split_once(',')?;
    Some((prompt.trim().parse().ok()?, max_tokens.trim().parse().ok()?))
}
