//! The forwarder, which sends records to other members in batches.

use std::{collections, time};

use tokio::{sync::mpsc, task};
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::intents;
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

use crate::intents::{Route, Stats, job};

/// How long records are collected for one call; short, because the owner collects records as well.
const BATCH_WINDOW: time::Duration = time::Duration::from_millis(1);

/// The maximum number of calls in flight.
const MAX_CALLS: usize = 64;

/// The maximum number of records that are collected at a time, and thus of one call; about 75 KB.
const MAX_RECORDS: usize = 500;

/// A record and the member that is to write it.
pub(super) type Forward = (id::Incarnation, job::PendingRecord);

/// The task that sends records to other members.
pub(super) struct Forwarder {
    pub(super) route: Route,
    pub(super) timeout: time::Duration,
    pub(super) stats: Stats,
    pub(super) queue: mpsc::Receiver<Forward>,
}

impl Forwarder {
    /// Sends batches until the token is cancelled, and then aborts the calls in flight.
    pub(super) async fn run(mut self, token: tokio_sync::CancellationToken) {
        let mut calls = task::JoinSet::new();
        loop {
            let first = tokio::select! {
                () = token.cancelled() => break,
                Some(_) = calls.join_next() => continue,
                first = self.queue.recv(), if calls.len() < MAX_CALLS => match first {
                    Some(first) => first,
                    None => break,
                },
            };
            tokio::time::sleep(BATCH_WINDOW).await;
            for (member, batch) in self.collect_batches(first) {
                self.stats.count_call(batch.len());
                calls.spawn(send_batch(self.route.clone(), member, batch, self.timeout));
            }
        }
        calls.shutdown().await;
    }

    /// Returns the queued records, grouped by the member to which they are sent.
    fn collect_batches(
        &mut self,
        first: Forward,
    ) -> collections::BTreeMap<id::Incarnation, Vec<job::PendingRecord>> {
        let mut batches: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        let mut next = Some(first);
        let mut count = 0;
        while let Some((member, pending)) = next {
            batches.entry(member).or_default().push(pending);
            count += 1;
            next = if count < MAX_RECORDS { self.queue.try_recv().ok() } else { None };
        }
        batches
    }
}

async fn send_batch(
    route: Route,
    member: id::Incarnation,
    batch: Vec<job::PendingRecord>,
    timeout: time::Duration,
) {
    let records = batch.iter().map(|pending| (pending.row.key.clone(), pending.row.record.clone()));
    let request = peer::CommitRequest { records: records.collect() };
    match (route.commit)(member, request, timeout).await {
        Ok(outcomes) if outcomes.len() == batch.len() => {
            for (pending, outcome) in batch.into_iter().zip(outcomes) {
                pending.answer(outcome_from_peer(outcome));
            }
        }
        Err(error) if error.kind == error::ErrorKind::Unavailable => {
            for pending in batch {
                pending.answer(intents::Outcome::Unavailable);
            }
        }
        // Dropping the batch reports the outcome of its records as unsure.
        Ok(_) => log::error!("member {member} returned fewer or more outcomes than records"),
        Err(error) => log::debug!("unknown outcome of records at member {member}: {error}"),
    }
}

/// Converts an outcome that was received from a peer.
pub(super) fn outcome_from_peer(outcome: peer::CommitOutcome) -> intents::Outcome {
    match outcome {
        peer::CommitOutcome::Created => intents::Outcome::Created,
        peer::CommitOutcome::Exists(record) => intents::Outcome::Exists(record),
        peer::CommitOutcome::Unsure => intents::Outcome::Unknown,
        peer::CommitOutcome::Unavailable => intents::Outcome::Unavailable,
        peer::CommitOutcome::Expired => intents::Outcome::Expired,
    }
}

/// Converts an outcome that is sent to a peer.
pub(super) fn outcome_to_peer(outcome: intents::Outcome) -> peer::CommitOutcome {
    match outcome {
        intents::Outcome::Created => peer::CommitOutcome::Created,
        intents::Outcome::Exists(record) => peer::CommitOutcome::Exists(record),
        intents::Outcome::Unknown => peer::CommitOutcome::Unsure,
        intents::Outcome::Unavailable => peer::CommitOutcome::Unavailable,
        intents::Outcome::Expired => peer::CommitOutcome::Expired,
    }
}
