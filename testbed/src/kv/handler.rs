//! Answers the calls.

use std::{net, sync, time};

use hyper::{Method, StatusCode, header};
use trefoildyke_types::error;
use trefoildyke_wire::{http, platform::message};

use crate::kv::{running, store};
use crate::switch;

type Reply = hyper::Response<http::Body>;

/// Room for a value of the greatest size in which JSON escapes every byte.
const MAX_BODY: usize = 6 * message::MAX_VALUE + 4096;
const BODY_WAIT: time::Duration = time::Duration::from_secs(30);

pub(crate) async fn answer(
    shared: sync::Arc<running::Shared>,
    call: http::Call,
) -> Result<Reply, http::Aborted> {
    let (head, body) = call.request.into_parts();
    let path = head.uri.path();
    if head.method == Method::GET && path == "/admin/stats" {
        return Ok(http::json(StatusCode::OK, &shared.lock().stats));
    }
    if head.method != Method::POST {
        return Ok(status(StatusCode::METHOD_NOT_ALLOWED));
    }
    let body = match http::read_body(body, MAX_BODY, BODY_WAIT).await {
        Ok(body) => body,
        Err(error) => return Ok(refuse(&error)),
    };
    match path {
        "/admin/mode" => Ok(set_mode(&shared, &body)),
        _ => answer_in_mode(&shared, call.source.ip(), path, &body).await,
    }
}

/// Answers as the mode says that the source meets.
async fn answer_in_mode(
    shared: &running::Shared,
    source: net::IpAddr,
    path: &str,
    body: &[u8],
) -> Result<Reply, http::Aborted> {
    let writes = is_write(path);
    let mode = shared.switch.meet(source, writes);
    match mode.mode {
        switch::ModeKind::Down => return Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
        switch::ModeKind::Silent => return std::future::pending().await,
        switch::ModeKind::Slow => {
            tokio::time::sleep(time::Duration::from_millis(mode.delay_ms)).await;
        }
        switch::ModeKind::Ok | switch::ModeKind::LoseAnswers => {}
    }
    if let Err(wait) = admit(shared, path, writes) {
        return Ok(too_many(wait));
    }
    tokio::time::sleep(shared.settings.delay).await;
    let reply = carry_out(shared, path, body).await;
    if mode.mode == switch::ModeKind::LoseAnswers {
        return Err(http::Aborted);
    }
    if path != "/v1/watch" {
        return Ok(reply);
    }
    // The service may have failed while the watch waited.
    match shared.switch.current(source) {
        switch::ModeKind::Down => Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
        switch::ModeKind::Silent => std::future::pending().await,
        _ => Ok(reply),
    }
}

fn is_write(path: &str) -> bool {
    matches!(
        path,
        "/v1/put" | "/v1/delete" | "/v1/lease/grant" | "/v1/lease/renew" | "/v1/lease/revoke"
    )
}

/// Counts the call, or returns how long the caller should wait.
fn admit(shared: &running::Shared, path: &str, writes: bool) -> Result<(), time::Duration> {
    let mut state = shared.lock();
    let now = time::Instant::now();
    let rate = if writes { &mut state.writes } else { &mut state.reads };
    if let Err(wait) = rate.take(now) {
        state.stats.refused += 1;
        return Err(wait);
    }
    match path {
        _ if writes => state.stats.writes += 1,
        "/v1/watch" => state.stats.watches += 1,
        _ => state.stats.reads += 1,
    }
    Ok(())
}

async fn carry_out(shared: &running::Shared, path: &str, body: &[u8]) -> Reply {
    match path {
        "/v1/get" => with(body, |get: message::Get| {
            http::json(StatusCode::OK, &shared.lock().store.get(&get.key))
        }),
        "/v1/list" => with(body, |list: message::List| {
            http::json(StatusCode::OK, &shared.lock().store.list(&list))
        }),
        "/v1/put" => with(body, |put: message::Put| do_put(shared, put)),
        "/v1/delete" => with(body, |delete: message::Delete| {
            let result = shared.change(|store| store.delete(&delete.key, delete.expect));
            written(result.map(|revision| message::Written { revision }))
        }),
        "/v1/lease/grant" => with(body, |grant: message::Grant| {
            let ttl = time::Duration::from_millis(grant.ttl_ms);
            let lease = shared.change(|store| store.grant(ttl, time::Instant::now()));
            http::json(StatusCode::OK, &lease)
        }),
        "/v1/lease/renew" => with(body, |lease: message::LeaseRef| {
            written(shared.change(|store| store.renew(lease.lease, time::Instant::now())))
        }),
        "/v1/lease/revoke" => with(body, |lease: message::LeaseRef| {
            shared.change(|store| store.revoke(lease.lease));
            http::json(StatusCode::OK, &Empty {})
        }),
        "/v1/watch" => match serde_json::from_slice(body) {
            Ok(watch) => wait_for_change(shared, &watch).await,
            Err(error) => invalid(&error),
        },
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn do_put(shared: &running::Shared, put: message::Put) -> Reply {
    if put.value.len() > message::MAX_VALUE {
        let text = format!("the value is longer than {} bytes", message::MAX_VALUE);
        return refuse(&error::Error::new(error::ErrorKind::TooLarge, text).at("value"));
    }
    shared.lock().stats.written_bytes += put.value.len() as u64;
    written(shared.change(|store| store.put(put)))
}

async fn wait_for_change(shared: &running::Shared, watch: &message::Watch) -> Reply {
    let deadline = tokio::time::Instant::now() + time::Duration::from_millis(watch.wait_ms);
    let mut revisions = shared.revision.subscribe();
    loop {
        revisions.mark_unchanged();
        let (events, revision) = {
            let state = shared.lock();
            (state.store.changes(&watch.prefix, watch.after), state.store.revision())
        };
        let Some(events) = events else {
            return status(StatusCode::GONE);
        };
        let late = tokio::time::Instant::now() >= deadline;
        if !events.is_empty() || late {
            return http::json(StatusCode::OK, &message::WatchReply { events, revision });
        }
        // Whether a change or the deadline ended the wait shows in the next round.
        let _ = tokio::time::timeout_at(deadline, revisions.changed()).await;
    }
}

#[derive(serde::Serialize)]
struct Empty {}

fn with<T: serde::de::DeserializeOwned>(body: &[u8], run: impl FnOnce(T) -> Reply) -> Reply {
    match serde_json::from_slice(body) {
        Ok(message) => run(message),
        Err(error) => invalid(&error),
    }
}

fn written<T: serde::Serialize>(result: Result<T, store::WriteError>) -> Reply {
    match result {
        Ok(reply) => http::json(StatusCode::OK, &reply),
        Err(store::WriteError::Conflict(conflict)) => http::json(StatusCode::CONFLICT, &conflict),
        Err(store::WriteError::LeaseGone) => status(StatusCode::NOT_FOUND),
    }
}

fn set_mode(shared: &running::Shared, body: &[u8]) -> Reply {
    with(body, |mode: switch::Mode| {
        shared.switch.set(mode);
        http::json(StatusCode::OK, &Empty {})
    })
}

fn status(status: StatusCode) -> Reply {
    http::json(status, &Empty {})
}

fn invalid(error: &serde_json::Error) -> Reply {
    refuse(&error::Error::new(error::ErrorKind::Invalid, error.to_string()))
}

fn refuse(error: &error::Error) -> Reply {
    http::json(StatusCode::BAD_REQUEST, error)
}

fn too_many(wait: time::Duration) -> Reply {
    let mut reply = status(StatusCode::TOO_MANY_REQUESTS);
    let seconds = header::HeaderValue::from(wait.as_secs().max(1));
    reply.headers_mut().insert(header::RETRY_AFTER, seconds);
    reply
}
