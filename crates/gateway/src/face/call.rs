//! A request that was read and admitted.

use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{StatusCode, body, header};
use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::{charging, face, names, record, state};

/// How long a caller is asked to stay away that came before the configuration was known.
const STARTING: time::Duration = time::Duration::from_millis(500);

/// How long a caller is asked to stay away whose key cannot be checked: its next connection reaches
/// another host, which most likely can.
const UNCONFIRMED: time::Duration = time::Duration::from_millis(100);

/// How long a caller waits that does not say.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(60);

/// Holds an admitted request and what its driver depends on.
pub(crate) struct Call {
    pub(crate) id: String,
    /// What tells whether another request asks the same.
    pub(crate) fingerprint: gateway::Fingerprint,
    /// The request for the endpoint, without the headers that each send adds.
    pub(crate) request: hyper::Request<Full<Bytes>>,
    pub(crate) service: id::PoolName,
    pub(crate) kind: gateway::RouteKind,
    pub(crate) attempts: u32,
    pub(crate) gap: time::Duration,
    pub(crate) rank: u8,
    /// Stands for the route.
    pub(crate) route: u32,
    /// Until when the first event is of full use.
    pub(crate) objective: Timestamp,
    /// When the caller leaves if nothing has come.
    pub(crate) leaves: Timestamp,
    /// Whether the caller was refused before.
    pub(crate) returning: bool,
    /// When the caller stops waiting.
    pub(crate) deadline: Timestamp,
    /// When the final answer is due: at the route's timeout or the deadline.
    pub(crate) give_up: Timestamp,
    pub(crate) prompt: u32,
    /// The parts of the prompt that others may begin with as well.
    pub(crate) parts: Vec<gateway::PromptPart>,
    /// The expected length of the answer in tokens.
    pub(crate) expected: f64,
    /// What was taken from the account's quota, until it is given back.
    pub(crate) payment: Option<charging::Payment>,
}

/// Holds what admission found out of the head alone.
struct Admission {
    service: id::PoolName,
    account: Option<gateway::Account>,
    route: gateway::Route,
    body_limit: usize,
    body_wait: time::Duration,
}

impl Call {
    /// Admits a request by its head, reads its body and takes its cost from the quota.
    ///
    /// Notes in `access` what is found out, also of a request that is refused.
    pub(crate) async fn read(
        shared: &state::Shared,
        access: &mut face::AccessEntry,
        request: hyper::Request<body::Incoming>,
    ) -> Result<Self, face::Reply> {
        let (head, body) = request.into_parts();
        let names = &shared.settings.names;
        let admission = admit(shared, access, &head)?;
        let id = access.id().to_owned();
        let waits = names::number(&head.headers, &names.deadline);
        let waits = waits.map_or(DEFAULT_DEADLINE, time::Duration::from_millis);
        let body = read_body(&admission, body).await?;
        let fingerprint = admission.fingerprint(&head, &body);
        let tokens = tokens(names::text(&head.headers, &names.tokens));
        let arrived = access.arrived();
        let route = &admission.route;
        let limit = waits.min(time::Duration::from_millis(route.timeout_ms));
        let (prompt, most) = tokens.unwrap_or((0, 0));
        let model = names::text(&head.headers, &names.model).unwrap_or_default();
        let parts = names::text(&head.headers, &names.parts);
        let parts = parts.map_or_else(Vec::new, |text| gateway::prompt_parts(model, text));
        let expected = expected(most, names::number(&head.headers, &names.length_hint));
        let spent = shared.core().deadlines.spent(&route.name, waits);
        let cost = admission.cost(tokens);
        let rank = rank(route, admission.account.as_ref());
        access.asks(record::Asked {
            fingerprint: Some(fingerprint),
            rank: Some(rank),
            prompt,
            expected: expected as u32,
            cost: cost as u32,
            returning: !spent.is_zero(),
            objective_ms: route.objective_ms,
        });
        // Before the charge: what is sent nowhere costs its account nothing.
        if let Some(after) = shared.held(fingerprint) {
            return Err(face::Reply::not_run(face::QUARANTINED, after));
        }
        let payment = charge(shared, &admission, cost).await?;
        let mut request = face::endpoint_request(names, &head, body);
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
            gap: time::Duration::from_millis(route.gap_ms),
            rank,
            route: route.mark(),
            objective: arrived
                + time::Duration::from_millis(route.objective_ms).saturating_sub(spent),
            leaves: arrived
                + route.patience_ms.map_or(limit, time::Duration::from_millis).min(limit),
            returning: !spent.is_zero(),
            deadline: arrived + waits,
            give_up: arrived + limit,
            prompt,
            parts,
            expected,
            payment,
        })
    }
}

/// How many ranks of routes are told apart within one rank of client accounts.
const ROUTE_RANKS: u8 = 8;

/// Orders by the client account's rank, or the route's if the account has none, then by the route's.
fn rank(route: &gateway::Route, account: Option<&gateway::Account>) -> u8 {
    let first = account.and_then(|account| account.priority).unwrap_or(route.priority);
    first.min(ROUTE_RANKS - 1) * ROUTE_RANKS + route.priority.min(ROUTE_RANKS - 1)
}

fn admit(
    shared: &state::Shared,
    access: &mut face::AccessEntry,
    head: &http::request::Parts,
) -> Result<Admission, face::Reply> {
    let (table, is_fresh) = {
        let core = shared.core();
        (core.table.clone(), core.freshness.is_fresh(shared.now()))
    };
    let Some(table) = table else {
        return Err(face::Reply::not_run("starting", STARTING));
    };
    let config = table.config();
    access.set_version(config.version);
    let admitted = look_up(shared, &table, head, is_fresh)?;
    access.set_route(admitted.route, admitted.account);
    if admitted.account.is_some() && !is_fresh {
        return Err(face::Reply::not_run("unconfirmed", UNCONFIRMED).closing());
    }
    if access.id().is_empty() {
        return Err(face::Reply::new(StatusCode::BAD_REQUEST, "request_id_missing"));
    }
    let service = admitted.route.pick(rand::random());
    let service = service.ok_or(face::Reply::not_run("no_service", STARTING))?;
    Ok(Admission {
        service: service.clone(),
        account: admitted.account.cloned(),
        route: admitted.route.clone(),
        body_limit: config.limits.body_bytes,
        body_wait: time::Duration::from_millis(config.limits.header_ms),
    })
}

/// Finds the route and the account; denies only on a configuration that is known to be in force.
fn look_up<'a>(
    shared: &state::Shared,
    table: &'a gateway::Table,
    head: &http::request::Parts,
    is_fresh: bool,
) -> Result<gateway::Admitted<'a>, face::Reply> {
    let names = &shared.settings.names;
    let host = names::text(&head.headers, &header::HOST);
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let key = names::text(&head.headers, &names.key);
    table.admit(host, head.uri.path(), key).map_err(|denied| match denied {
        _ if !is_fresh => face::Reply::not_run("unconfirmed", UNCONFIRMED).closing(),
        gateway::Denied::NoRoute => face::Reply::new(StatusCode::NOT_FOUND, "no_route"),
        gateway::Denied::NoKey => face::Reply::new(StatusCode::UNAUTHORIZED, "unknown_key"),
    })
}

async fn read_body(admission: &Admission, body: body::Incoming) -> Result<Bytes, face::Reply> {
    let body = Limited::new(body, admission.body_limit).collect();
    match tokio::time::timeout(admission.body_wait, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(face::Reply::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large").closing())
        }
        Ok(Err(_)) => Err(face::Reply::new(StatusCode::BAD_REQUEST, "body_broken").closing()),
        Err(_) => Err(face::Reply::new(StatusCode::REQUEST_TIMEOUT, "body_slow").closing()),
    }
}

impl Admission {
    /// Returns what tells a request that is asked again from others, whatever id it has.
    fn fingerprint(&self, head: &http::request::Parts, body: &[u8]) -> gateway::Fingerprint {
        let account = self.account.as_ref().map(|account| &account.name);
        let host = head.headers.get(header::HOST).map(header::HeaderValue::as_bytes);
        let host = host.unwrap_or_default().to_ascii_lowercase();
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
        let parts = [head.method.as_str().as_bytes(), &host, target.as_bytes(), body];
        gateway::Fingerprint::of(account, parts)
    }

    /// Returns what the request counts against its account's quota.
    fn cost(&self, tokens: Option<(u32, u32)>) -> f64 {
        let declared = tokens.map(|(prompt, most)| prompt.saturating_add(most));
        self.account.as_ref().map_or(0.0, |account| account.cost(declared))
    }
}

async fn charge(
    shared: &state::Shared,
    admission: &Admission,
    cost: f64,
) -> Result<Option<charging::Payment>, face::Reply> {
    let Some(account) = admission.account.as_ref().filter(|account| account.rate > 0.0) else {
        return Ok(None);
    };
    let charged = charging::charge(shared, account, cost).await;
    charged.map(Some).map_err(|error| match error {
        charging::ChargeError::UsedUp { wait } => {
            let wait = time::Duration::from_secs_f64(wait.clamp(0.2, 60.0));
            let reply = face::Reply::new(StatusCode::TOO_MANY_REQUESTS, "quota");
            face::Reply { retry_after: Some(wait), ..reply }
        }
        charging::ChargeError::Unlisted => face::Reply::not_run("unlisted", UNCONFIRMED).closing(),
    })
}

/// Callers' estimates are right at the median and often far off; their mean lies this much higher.
const HINT_MEAN: f64 = 1.15;

/// The part of the declared limit that an answer without an estimate is expected to take.
const UNHINTED_PART: f64 = 0.1;

/// Returns how many tokens an answer is expected to hold.
fn expected(most: u32, hint: Option<u64>) -> f64 {
    let most = f64::from(most);
    hint.map_or(most * UNHINTED_PART, |hint| (hint as f64 * HINT_MEAN).min(most))
}

/// Reads the declared tokens: those of the prompt and the most to generate.
fn tokens(text: Option<&str>) -> Option<(u32, u32)> {
    let (prompt, most) = text?.split_once(',')?;
    Some((prompt.trim().parse().ok()?, most.trim().parse().ok()?))
}
