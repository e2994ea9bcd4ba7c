//! Helpers shared by the tests of the gateway's decisions.

use std::{net::SocketAddr, time::Duration};

use proptest::sample;
use trefoildyke_decide::gateway::{
    Admission, EndpointLoad, Grant, LoadReport, Outcome, Pool, PoolParams, PoolRequest,
    QueueDecision, RosterEntry, Ticket,
};
use trefoildyke_types::{id::PoolName, time::Timestamp};

pub(super) fn entry(name: &str) -> RosterEntry {
    RosterEntry {
        endpoint: name.into(),
        start: 0,
        service: "assistant".into(),
        version: "v1".into(),
        address: ([127, 0, 0, 1], 7_420).into(),
        zone: "a".into(),
        slots: 2,
        draining: false,
    }
}

/// Creates a pool with endpoints of two slots each.
pub(super) fn pool(names: &[&str]) -> Pool {
    pool_with(PoolParams::default(), names)
}

/// Creates a pool with other settings and endpoints of two slots each.
pub(super) fn pool_with(params: PoolParams, names: &[&str]) -> Pool {
    let mut pool = Pool::new(params, 4);
    for name in names {
        list(&mut pool, 0, name);
    }
    pool
}

pub(super) fn list(pool: &mut Pool, ms: u64, name: &str) {
    pool.upsert_endpoint(at(ms), &entry(name));
}

pub(super) fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Creates a request of `rank` at `ms` with a short prompt, which waits for up to three seconds.
pub(super) fn request(ms: u64, rank: u8) -> PoolRequest {
    PoolRequest {
        rank,
        route: 0,
        zone: "a".into(),
        prompt: 300,
        parts: Vec::new(),
        expected_tokens: 50.0,
        max_pause: Duration::from_millis(400),
        objective: at(ms + 500),
        leaves_at: at(ms + 3_000),
        returning: false,
        deadline: at(ms + 15_000),
        repeatable: false,
        tried: vec![],
        version: None,
    }
}

/// Returns messages in another order, some of them twice.
pub(super) fn redeliver<T>(messages: &[T], order: sample::Index) -> impl Iterator<Item = &T> {
    let split = if messages.is_empty() { 0 } else { order.index(messages.len()) };
    messages[split..].iter().chain(messages).rev()
}

/// Creates a grant at an endpoint that was not granted by a pool, to report measurements with.
pub(super) fn grant_at(name: &str) -> Grant {
    Grant {
        endpoint: name.into(),
        start: 0,
        version: "v1".into(),
        route: 0,
        address: ([127, 0, 0, 1], 7_420).into(),
        prompt: 0,
        at: Timestamp::ZERO,
        first_ms: 0,
        running: 0,
        queued_tokens: 0,
        age_ms: 0,
    }
}

pub(super) fn granted(admission: Admission) -> Grant {
    match admission {
        Admission::Granted(grant) => grant,
        other => panic!("not granted: {other:?}"),
    }
}

pub(super) fn queued(admission: Admission) -> Ticket {
    match admission {
        Admission::Queued(ticket) => ticket,
        other => panic!("not queued: {other:?}"),
    }
}

/// Ends a request and returns the waiting requests that are granted slots now.
pub(super) fn end(pool: &mut Pool, ms: u64, grant: &Grant) -> Vec<Ticket> {
    pool.end_request(at(ms), grant, grant.prompt, Outcome::Served);
    grants(pool, ms).into_iter().map(|(ticket, _)| ticket).collect()
}

pub(super) fn service() -> PoolName {
    "assistant".into()
}

/// Returns the waiting requests that are granted slots now.
pub(super) fn grants(pool: &mut Pool, ms: u64) -> Vec<(Ticket, Grant)> {
    let granted = |(ticket, settled): (Ticket, QueueDecision)| match settled {
        QueueDecision::Granted(grant) => Some((ticket, grant)),
        QueueDecision::Refused(_) => None,
    };
    pool.settle(at(ms)).into_iter().filter_map(granted).collect()
}

pub(super) fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_600))
}

/// Creates the report with number `number` of a peer, with `running` requests at each endpoint. `placed` is
/// the number of the last slot that the peer was granted.
pub(super) fn report(number: u64, running: &[(&str, u16)], placed: u64) -> LoadReport {
    let load = |(name, running): &(&str, u16)| EndpointLoad {
        endpoint: (*name).into(),
        start: 0,
        running: *running,
        prefill: 0,
        silent_ms: 0,
        learned: None,
        rate_limit: None,
        answers: Vec::new(),
        leaving: false,
    };
    let endpoints = running.iter().map(load).collect();
    LoadReport { incarnation: 1, number, service: service(), is_full: true, placed, endpoints }
}
