//! The interface through which other services record requests and look records up.

use std::sync;

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::{coordinate, intents};
use trefoildyke_types::{error, id, request};
use trefoildyke_wire::peer;

use crate::intents::{Counts, Route, Settings, Stats, availability, commit_queues, forwarder, job};

/// A handle that records requests and looks records up; clones use the same service.
#[derive(Clone)]
pub struct Handle {
    pub(super) settings: Settings,
    pub(super) route: Route,
    pub(super) availability: availability::Availability,
    pub(super) stats: Stats,
    pub(super) commit_queues: watch::Receiver<Option<sync::Arc<commit_queues::CommitQueues>>>,
    pub(super) forward: mpsc::Sender<forwarder::Forward>,
}

impl Handle {
    /// Returns the settings.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the layout on which all daemons agree, or that of the settings while it is unknown.
    pub fn layout(&self) -> intents::Layout {
        let queues = self.commit_queues.borrow();
        queues.as_ref().map_or_else(|| self.settings.layout(), |queues| queues.layout)
    }

    /// Returns the counts of reads, writes and records so far.
    pub fn stats(&self) -> Counts {
        self.stats.counts()
    }

    /// Returns whether records can be written, by this daemon or through a peer.
    pub fn service_state(&self) -> coordinate::ServiceState {
        self.availability.state()
    }

    /// Records a request if it has no record yet.
    ///
    /// A repeated call with the same record, nonce included, returns `Created` if the record exists, so an
    /// unsure outcome can be resolved by repeating the call. If the identifier is too old to prove the
    /// creation, the outcome is `Unsure`. Takes at most a few times `try_ms`.
    pub async fn record(
        &self,
        key: &id::RequestKey,
        record: &request::Record,
    ) -> coordinate::WriteOutcome {
        let row = intents::Row { key: key.clone(), record: record.clone() };
        let Some(queues) = self.wait_for_queues().await else {
            return self.record_through_peer(row).await.into();
        };
        let mut unsure = false;
        for member in self.candidates(&queues, key) {
            let outcome = if member == self.route.own {
                commit_locally(&queues, row.clone()).await
            } else {
                self.commit_remotely(member, row.clone()).await
            };
            match outcome {
                intents::Outcome::Created | intents::Outcome::Exists(_) => return outcome.into(),
                intents::Outcome::Expired => break,
                intents::Outcome::Unknown => unsure = true,
                intents::Outcome::Unavailable => {}
            }
        }
        if unsure {
            coordinate::WriteOutcome::Unsure
        } else {
            coordinate::WriteOutcome::Unavailable
        }
    }

    /// Looks a record up through the owner of its bucket, in this daemon, or through another peer.
    ///
    /// A record that is absent may still be created by a write in progress.
    pub async fn look_up(&self, key: &id::RequestKey) -> coordinate::ReadOutcome {
        let queues = self.wait_for_queues().await;
        let candidates = match &queues {
            Some(queues) => self.candidates(queues, key),
            None => self.other_members(key),
        };
        for member in candidates {
            let found = match &queues {
                Some(queues) if member == self.route.own => look_up_locally(queues, key).await,
                _ => self.look_up_remotely(member, key).await,
            };
            if let Ok(found) = found {
                return found
                    .map_or(coordinate::ReadOutcome::Absent, coordinate::ReadOutcome::Found);
            }
        }
        coordinate::ReadOutcome::Unavailable
    }

    /// Registers the methods with which peers commit records and look records up.
    pub fn serve_peers(&self, methods: &mut peer::Methods) {
        let handle = self.clone();
        methods.commit = peer::Methods::method(move |_, request| {
            let handle = handle.clone();
            async move { handle.commit_for_peer(request).await }
        });
        let handle = self.clone();
        methods.look_up = peer::Methods::method(move |_, key| {
            let handle = handle.clone();
            async move { handle.look_up_for_peer(&key).await }
        });
    }

    async fn commit_for_peer(
        &self,
        request: peer::CommitRequest,
    ) -> Result<Vec<peer::CommitOutcome>, error::Error> {
        let queues = self.wait_for_queues().await.ok_or_else(layout_unknown)?;
        // A forwarded record is not forwarded again, even if this daemon considers another one the owner.
        let commits = request
            .records
            .into_iter()
            .map(|(key, record)| commit_locally(&queues, intents::Row { key, record }));
        let outcomes = futures::future::join_all(commits).await;
        Ok(outcomes.into_iter().map(forwarder::outcome_to_peer).collect())
    }

    async fn look_up_for_peer(
        &self,
        key: &id::RequestKey,
    ) -> Result<Option<request::Record>, error::Error> {
        let queues = self.wait_for_queues().await.ok_or_else(layout_unknown)?;
        look_up_locally(&queues, key).await
    }

    async fn look_up_remotely(
        &self,
        member: id::Incarnation,
        key: &id::RequestKey,
    ) -> Result<Option<request::Record>, error::Error> {
        let call = (self.route.look_up)(member, key.clone(), self.settings.try_time());
        call.await.inspect(|_| self.availability.record_peer_success())
    }

    /// Returns the members through which a record's bucket can be reached, in the order of attempts.
    fn candidates(
        &self,
        queues: &commit_queues::CommitQueues,
        key: &id::RequestKey,
    ) -> Vec<id::Incarnation> {
        self.route.candidates(intents::Slot::owner_hash(queues.layout.slot(key).bucket))
    }

    /// Records a row through another member, because this daemon does not know the layout.
    async fn record_through_peer(&self, row: intents::Row) -> intents::Outcome {
        let mut unsure = false;
        for member in self.other_members(&row.key) {
            match self.commit_remotely(member, row.clone()).await {
                intents::Outcome::Unavailable => {}
                intents::Outcome::Unknown => unsure = true,
                outcome => return outcome,
            }
        }
        if unsure { intents::Outcome::Unknown } else { intents::Outcome::Unavailable }
    }

    async fn commit_remotely(
        &self,
        member: id::Incarnation,
        row: intents::Row,
    ) -> intents::Outcome {
        let (pending, outcome) = job::PendingRecord::new(row);
        if self.forward.try_send((member, pending)).is_err() {
            return intents::Outcome::Unavailable;
        }
        let outcome = outcome.await.unwrap_or(intents::Outcome::Unknown);
        if matches!(outcome, intents::Outcome::Created | intents::Outcome::Exists(_)) {
            self.availability.record_peer_success();
        }
        outcome
    }

    /// Returns at most 2 members other than this daemon.
    fn other_members(&self, key: &id::RequestKey) -> Vec<id::Incarnation> {
        let mut members = (self.route.owners)(key.stable_hash(), 3);
        members.retain(|member| *member != self.route.own);
        members.truncate(2);
        members
    }

    /// Waits at most `try_ms` for the layout and the queues.
    async fn wait_for_queues(&self) -> Option<sync::Arc<commit_queues::CommitQueues>> {
        let mut queues = self.commit_queues.clone();
        let known = queues.wait_for(Option::is_some);
        let known = tokio::time::timeout(self.settings.try_time(), known).await.ok()?.ok()?;
        known.clone()
    }
}

async fn commit_locally(
    queues: &commit_queues::CommitQueues,
    row: intents::Row,
) -> intents::Outcome {
    let (pending, outcome) = job::PendingRecord::new(row);
    if !enqueue(queues, job::Job::Record(pending)) {
        return intents::Outcome::Unavailable;
    }
    // A committer that ended without an answer may have written the record.
    outcome.await.unwrap_or(intents::Outcome::Unknown)
}

async fn look_up_locally(
    queues: &commit_queues::CommitQueues,
    key: &id::RequestKey,
) -> Result<Option<request::Record>, error::Error> {
    let (pending, found) = job::PendingLookUp::new(key.clone());
    if !enqueue(queues, job::Job::LookUp(pending)) {
        return Err(unavailable("too many records wait in the bucket"));
    }
    found.await.map_err(|_| unavailable("the record could not be read"))
}

/// Adds a job to the queue of its bucket and returns whether the queue had room.
fn enqueue(queues: &commit_queues::CommitQueues, job: job::Job) -> bool {
    let bucket = queues.layout.slot(job.key()).bucket;
    queues.senders.get(bucket as usize).is_some_and(|queue| queue.try_send(job).is_ok())
}

fn unavailable(message: &str) -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, message)
}

fn layout_unknown() -> error::Error {
    unavailable("the layout of records is not known yet")
}
