//! Finding a place for a request: at this daemon, or at the one that places the service's requests.

use std::{net, sync, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::state;

/// After how long without a reply a daemon is asked again: a datagram may be lost, and a small host
/// may be busy for some tens of milliseconds.
const REASK: time::Duration = time::Duration::from_millis(80);

/// After how long without a reply another daemon is asked instead: two questions.
const SILENCE: time::Duration = time::Duration::from_millis(180);

/// How often a daemon is told that a request still waits.
const KEEPALIVE: time::Duration = time::Duration::from_millis(200);

/// After how long without a reply another daemon is asked for a request that waits.
const WAITING_SILENCE: time::Duration = time::Duration::from_millis(450);

/// What came of looking for a place.
pub(crate) struct Placement {
    /// The other daemon that decided; `None` if this one did.
    pub(crate) placer: Option<net::SocketAddr>,
    /// The place, or the time after which to come back.
    pub(crate) result: Result<gateway::Grant, time::Duration>,
}

/// Finds a place until `end`.
pub(crate) async fn place(
    shared: &sync::Arc<state::Shared>,
    service: &id::PoolName,
    mut demand: gateway::Demand,
    end: tokio::time::Instant,
) -> Placement {
    loop {
        let placer = shared.core().placer(shared.now(), service);
        let Some(peer) = placer else {
            return Placement { placer, result: here(shared, service, demand, end).await };
        };
        match elsewhere(shared, service, &demand, peer, end).await {
            Elsewhere::Granted(grant) => return Placement { placer, result: Ok(grant) },
            Elsewhere::Refused(after) => return Placement { placer, result: Err(after) },
            Elsewhere::Unusable(endpoint) => demand.tried.push(endpoint),
            Elsewhere::Moved => {}
        }
    }
}

async fn here(
    shared: &sync::Arc<state::Shared>,
    service: &id::PoolName,
    demand: gateway::Demand,
    end: tokio::time::Instant,
) -> Result<gateway::Grant, time::Duration> {
    let rank = demand.rank;
    let verdict = shared.core().service(service).ask(shared.now(), demand);
    match verdict {
        state::Verdict::Granted(grant) => Ok(grant),
        state::Verdict::Refused(after) => Err(after),
        state::Verdict::Queued(ticket, settled) => {
            let waiting =
                state::Waiting::new(sync::Arc::clone(shared), service.clone(), ticket, settled);
            match waiting.settled(end).await {
                Some(gateway::Settled::Granted(grant)) => Ok(grant),
                Some(gateway::Settled::Refused(refused)) => Err(refused.retry_after),
                None => Err(shared.core().service(service).pool.retry_hint(shared.now(), rank)),
            }
        }
    }
}

/// What came of asking another daemon.
enum Elsewhere {
    Granted(gateway::Grant),
    Unusable(id::EndpointName),
    Refused(time::Duration),
    /// It does not answer, cannot place requests or does so no more: ask again who does.
    Moved,
}

async fn elsewhere(
    shared: &sync::Arc<state::Shared>,
    service: &id::PoolName,
    demand: &gateway::Demand,
    peer: net::SocketAddr,
    end: tokio::time::Instant,
) -> Elsewhere {
    let started = tokio::time::Instant::now();
    let mut asking =
        state::Asking::start(sync::Arc::clone(shared), service.clone(), peer, demand.clone());
    let mut hint = shared.settings.pool.least_retry_after;
    let mut heard = started;
    let (mut pause, mut silence) = (REASK, SILENCE);
    loop {
        let now = tokio::time::Instant::now();
        let wake = end.min(now + pause);
        match tokio::time::timeout_at(wake, asking.reply()).await {
            Ok(state::Reply::Granted(grant)) => return Elsewhere::Granted(grant),
            Ok(state::Reply::Unusable(endpoint)) => return Elsewhere::Unusable(endpoint),
            Ok(state::Reply::Refused(after)) => return Elsewhere::Refused(after),
            Ok(state::Reply::Unable) => {
                shared.doubt(peer, "cannot place requests");
                return Elsewhere::Moved;
            }
            Ok(state::Reply::Queued(after)) => {
                hint = after;
                heard = tokio::time::Instant::now();
                (pause, silence) = (KEEPALIVE, WAITING_SILENCE);
            }
            Err(_) if tokio::time::Instant::now() >= end => return Elsewhere::Refused(hint),
            Err(_) if heard.elapsed() >= silence => {
                shared.doubt(peer, "does not answer");
                return Elsewhere::Moved;
            }
            Err(_) if shared.core().placer(shared.now(), service) != Some(peer) => {
                return Elsewhere::Moved;
            }
            Err(_) => asking.ask(),
        }
    }
}
