//! Requests that arrive at random and are recorded.

use std::time;

use rand::{Rng as _, SeedableRng as _, rngs};
use tokio::task;
use trefoildyke_daemon::intents;
use trefoildyke_decide::coordinate;
use trefoildyke_types::{id, request};

/// Holds how long recording took, in microseconds, and how often it failed.
pub(super) struct Taken {
    pub(super) created: hdrhistogram::Histogram<u64>,
    pub(super) failed: u64,
}

/// Records `rate` requests a second for `length`, each at a random daemon.
pub(super) async fn run(
    handles: &[intents::Handle],
    rate: f64,
    length: time::Duration,
    seed: u64,
) -> anyhow::Result<Taken> {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    let mut records = task::JoinSet::new();
    let started = tokio::time::Instant::now();
    let mut at = time::Duration::ZERO;
    loop {
        at += time::Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate);
        if at >= length {
            break;
        }
        tokio::time::sleep_until(started + at).await;
        let handle = handles[random.random_range(0..handles.len())].clone();
        let record = record(random.random());
        records.spawn(async move {
            let started = time::Instant::now();
            let outcome = handle.record(&key(), &record).await;
            (outcome == coordinate::WriteOutcome::Created, started.elapsed())
        });
    }
    let mut taken = Taken { created: hdrhistogram::Histogram::new(3)?, failed: 0 };
    while let Some(ended) = records.join_next().await {
        match ended? {
            (true, length) => {
                taken.created.record(u64::try_from(length.as_micros()).unwrap_or(u64::MAX))?;
            }
            (false, _) => taken.failed += 1,
        }
    }
    Ok(taken)
}

/// Returns a key as an issued identifier makes it: the longest form.
pub(super) fn key() -> id::RequestKey {
    let id = id::RequestId::issued(uuid::Uuid::now_v7(), id::Incarnation::from_u64(u64::MAX));
    id::RequestKey { account: "cascadia-determinations".into(), id }
}

/// Returns a record with names of a usual length.
pub(super) fn record(nonce: u64) -> request::Record {
    request::Record::Intent(request::Intent {
        coordinator: id::Incarnation::from_u64(nonce),
        nonce: id::Nonce(nonce),
        endpoint: "tacoma-a-worker-07".into(),
        fingerprint: nonce,
    })
}
