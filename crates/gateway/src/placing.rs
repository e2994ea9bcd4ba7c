//! Gets a slot for a request, from this daemon or from the daemon that places the service's requests.

use std::{net, sync, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::state;

/// The time without a reply after which the request is sent to the same daemon again: a datagram may be
/// lost, and a small host may be busy for some tens of milliseconds.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(80);

/// The time without a reply after which another daemon is asked. It is checked whenever the request would be
/// sent again.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(180);

/// How often a daemon that has queued a request is told that the request still waits.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// The time without a reply after which another daemon is asked for a queued request.
const QUEUED_TIMEOUT: time::Duration = time::Duration::from_millis(450);

/// The result of the search for a slot.
pub(crate) struct Placement {
    /// The other daemon that decided; `None` if this daemon did.
    pub(crate) placer: Option<net::SocketAddr>,
    /// The granted slot, or the time after which the caller should retry.
    pub(crate) result: Result<gateway::Grant, time::Duration>,
}

/// How often a request that waits for the end of a backoff looks for endpoints that have come meanwhile.
const BACKOFF_CHECK: time::Duration = time::Duration::from_millis(100);

/// Gets a slot, waiting until `end` at most.
///
/// Endpoints that want no requests from this host are left out, also by the daemon that places the requests.
/// The request is placed anew when one of them takes requests again.
pub(crate) async fn place(
    shared: &sync::Arc<state::Shared>,
    service: &id::PoolName,
    mut pool_request: gateway::PoolRequest,
    end: tokio::time::Instant,
) -> Placement {
    loop {
        if let Some(backoff) = shortest_backoff(shared, service, &pool_request) {
            if tokio::time::Instant::now() + backoff >= end {
                return Placement { placer: None, result: Err(backoff) };
            }
            tokio::time::sleep(backoff.min(BACKOFF_CHECK)).await;
            continue;
        }
        let placer = shared.core().placer(shared.now(), service);
        let (candidate, until) = without_backing_off(shared, service, &pool_request, end);
        let placed = match placer {
            Some(peer) => place_remotely(shared, service, &candidate, peer, until).await,
            None => place_locally(shared, service, candidate, until).await,
        };
        match placed {
            Placed::Granted(grant) => return Placement { placer, result: Ok(grant) },
            Placed::Refused(_) if until < end && tokio::time::Instant::now() >= until => {}
            Placed::Refused(after) => return Placement { placer, result: Err(after) },
            Placed::Unusable(endpoint) => {
                if !is_backing_off(shared, service, &endpoint) {
                    pool_request.tried.push(endpoint);
                }
            }
            Placed::PlacerChanged => {}
        }
    }
}

fn shortest_backoff(
    shared: &state::Shared,
    service: &id::PoolName,
    pool_request: &gateway::PoolRequest,
) -> Option<time::Duration> {
    let now = shared.now();
    shared.core().service(service).pool.shortest_backoff(
        now,
        &pool_request.tried,
        pool_request.version.as_ref(),
    )
}

fn is_backing_off(
    shared: &state::Shared,
    service: &id::PoolName,
    endpoint: &id::EndpointName,
) -> bool {
    let backing_off = shared.core().service(service).pool.backing_off(shared.now());
    backing_off.iter().any(|(name, _)| name == endpoint)
}

/// Leaves the endpoints out that back off; returns the request, and when the first of them takes requests
/// again, `end` at most.
fn without_backing_off(
    shared: &state::Shared,
    service: &id::PoolName,
    pool_request: &gateway::PoolRequest,
    end: tokio::time::Instant,
) -> (gateway::PoolRequest, tokio::time::Instant) {
    let mut candidate = pool_request.clone();
    let mut until = end;
    let backing_off = shared.core().service(service).pool.backing_off(shared.now());
    for (endpoint, backoff) in backing_off {
        if !candidate.tried.contains(&endpoint) {
            until = until.min(tokio::time::Instant::now() + backoff);
            candidate.tried.push(endpoint);
        }
    }
    (candidate, until)
}

fn accepts(shared: &state::Shared, service: &id::PoolName, grant: &gateway::Grant) -> bool {
    shared.core().service(service).pool.accepts(shared.now(), grant)
}

/// The result of asking this daemon or another one.
enum Placed {
    Granted(gateway::Grant),
    /// A slot of an endpoint to which this daemon may not send.
    Unusable(id::EndpointName),
    Refused(time::Duration),
    /// The daemon does not reply, cannot place requests or no longer places those of this service, so the
    /// placer must be looked up again.
    PlacerChanged,
}

async fn place_locally(
    shared: &sync::Arc<state::Shared>,
    service: &id::PoolName,
    pool_request: gateway::PoolRequest,
    end: tokio::time::Instant,
) -> Placed {
    let rank = pool_request.rank;
    let admission = shared.core().service(service).ask(shared.now(), pool_request);
    let grant = match admission {
        state::Admission::Granted(grant) => grant,
        state::Admission::Refused(after) => return Placed::Refused(after),
        state::Admission::Queued(ticket, settled) => {
            let queued = state::QueuedRequest::new(
                sync::Arc::clone(shared),
                service.clone(),
                ticket,
                settled,
            );
            match queued.settled(end).await {
                Some(gateway::QueueDecision::Granted(grant)) => grant,
                Some(gateway::QueueDecision::Refused(refused)) => {
                    return Placed::Refused(refused.retry_after);
                }
                None => {
                    let hint = shared.core().service(service).pool.retry_hint(shared.now(), rank);
                    return Placed::Refused(hint);
                }
            }
        }
    };
    // The endpoint may have said so while the request waited.
    if !accepts(shared, service, &grant) {
        shared.release(service, &grant, grant.prompt, gateway::Outcome::Unused);
        return Placed::Unusable(grant.endpoint);
    }
    Placed::Granted(grant)
}

async fn place_remotely(
    shared: &sync::Arc<state::Shared>,
    service: &id::PoolName,
    pool_request: &gateway::PoolRequest,
    peer: net::SocketAddr,
    end: tokio::time::Instant,
) -> Placed {
    let started = tokio::time::Instant::now();
    let mut remote_request = state::RemoteRequest::start(
        sync::Arc::clone(shared),
        service.clone(),
        peer,
        pool_request.clone(),
    );
    let mut hint = shared.settings.pool.least_retry_after;
    let mut last_reply = started;
    let (mut interval, mut timeout) = (RETRY_INTERVAL, REPLY_TIMEOUT);
    // Whether the last message that the request still waits was replied to.
    let mut is_confirmed = false;
    loop {
        let now = tokio::time::Instant::now();
        let wake = end.min(now + interval);
        match tokio::time::timeout_at(wake, remote_request.reply()).await {
            Ok(state::Reply::Granted(grant)) => return Placed::Granted(grant),
            Ok(state::Reply::Unusable(endpoint)) => return Placed::Unusable(endpoint),
            Ok(state::Reply::Refused(after)) => return Placed::Refused(after),
            Ok(state::Reply::Unable) => {
                shared.suspect_peer(peer, "cannot place requests");
                return Placed::PlacerChanged;
            }
            Ok(state::Reply::Queued(after)) => {
                hint = after;
                last_reply = tokio::time::Instant::now();
                (interval, timeout) = (KEEPALIVE_INTERVAL, QUEUED_TIMEOUT);
                is_confirmed = true;
            }
            Err(_) if tokio::time::Instant::now() >= end => return Placed::Refused(hint),
            Err(_) if last_reply.elapsed() >= timeout => {
                shared.suspect_peer(peer, "does not answer");
                return Placed::PlacerChanged;
            }
            Err(_) if has_moved(shared, service, peer, is_confirmed) => {
                return Placed::PlacerChanged;
            }
            Err(_) => {
                is_confirmed = false;
                remote_request.ask();
            }
        }
    }
}

/// Returns whether a request that waits at `peer` is to be placed by another daemon.
///
/// A daemon that still replies for the request keeps it even if it left other messages unanswered, since the
/// next daemon may refuse the request.
fn has_moved(
    shared: &state::Shared,
    service: &id::PoolName,
    peer: net::SocketAddr,
    is_confirmed: bool,
) -> bool {
    let (now, core) = (shared.now(), shared.core());
    let is_kept = is_confirmed && core.mesh.is_backed_off(now, peer);
    !is_kept && core.placer(now, service) != Some(peer)
}
