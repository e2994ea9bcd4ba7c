//! Sends records to other members, many in one call.

use std::{collections, time};

use tokio::{sync::mpsc, task};
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::intents;
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

use crate::intents::{Route, Stats, waiting};

/// How long records are gathered for one call; short, because the owner gathers as well.
const GATHER: time::Duration = time::Duration::from_millis(1);

/// How many calls may be in flight.
const CALLS: usize = 64;

/// How many records one call carries at most; about 75 KB.
const MOST: usize = 500;

/// Holds a record and the member that should write it.
pub(super) type Forward = (id::Incarnation, waiting::Waiting);

/// Sends records to other members.
pub(super) struct Forwarder {
    pub(super) route: Route,
    pub(super) timeout: time::Duration,
    pub(super) stats: Stats,
    pub(super) queue: mpsc::Receiver<Forward>,
}

impl Forwarder {
    /// Sends until the token is cancelled, and then ends the calls in flight.
    pub(super) async fn run(mut self, token: tokio_sync::CancellationToken) {
        let mut calls = task::JoinSet::new();
        loop {
            let first = tokio::select! {
                () = token.cancelled() => break,
                Some(_) = calls.join_next() => continue,
                first = self.queue.recv(), if calls.len() < CALLS => match first {
                    Some(first) => first,
                    None => break,
                },
            };
            tokio::time::sleep(GATHER).await;
            for (member, batch) in self.gather(first) {
                self.stats.call(batch.len());
                calls.spawn(call(self.route.clone(), member, batch, self.timeout));
            }
        }
        calls.shutdown().await;
    }

    fn gather(
        &mut self,
        first: Forward,
    ) -> collections::BTreeMap<id::Incarnation, Vec<waiting::Waiting>> {
        let mut batches: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        let mut next = Some(first);
        let mut count = 0;
        while let Some((member, waiting)) = next {
            batches.entry(member).or_default().push(waiting);
            count += 1;
            next = if count < MOST { self.queue.try_recv().ok() } else { None };
        }
        batches
    }
}

async fn call(
    route: Route,
    member: id::Incarnation,
    batch: Vec<waiting::Waiting>,
    timeout: time::Duration,
) {
    let records = batch.iter().map(|waiting| (waiting.row.key.clone(), waiting.row.record.clone()));
    let request = peer::CommitRequest { records: records.collect() };
    match (route.commit)(member, request, timeout).await {
        Ok(outcomes) if outcomes.len() == batch.len() => {
            for (waiting, outcome) in batch.into_iter().zip(outcomes) {
                waiting.answer(read_outcome(outcome));
            }
        }
        Err(error) if error.kind == error::ErrorKind::Unavailable => {
            for waiting in batch {
                waiting.answer(intents::Outcome::Unavailable);
            }
        }
        // Dropping the batch leaves its records unsure.
        Ok(_) => log::error!("member {member} answered another number of records than were sent"),
        Err(error) => log::debug!("member {member} left records unsure: {error}"),
    }
}

/// Converts an outcome that a peer sent.
pub(super) fn read_outcome(outcome: peer::CommitOutcome) -> intents::Outcome {
    match outcome {
        peer::CommitOutcome::Created => intents::Outcome::Created,
        peer::CommitOutcome::Exists(record) => intents::Outcome::Exists(record),
        peer::CommitOutcome::Unsure => intents::Outcome::Unsure,
        peer::CommitOutcome::Unavailable => intents::Outcome::Unavailable,
        peer::CommitOutcome::Expired => intents::Outcome::Expired,
    }
}

/// Converts an outcome for a peer.
pub(super) fn write_outcome(outcome: intents::Outcome) -> peer::CommitOutcome {
    match outcome {
        intents::Outcome::Created => peer::CommitOutcome::Created,
        intents::Outcome::Exists(record) => peer::CommitOutcome::Exists(record),
        intents::Outcome::Unsure => peer::CommitOutcome::Unsure,
        intents::Outcome::Unavailable => peer::CommitOutcome::Unavailable,
        intents::Outcome::Expired => peer::CommitOutcome::Expired,
    }
}
