//! What other services use to record requests and to look records up.

use std::sync;

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::{coordinate, intents};
use trefoildyke_types::{error, id, request};
use trefoildyke_wire::peer;

use crate::intents::{Counts, Route, Settings, Stats, forwarder, outage, ready, waiting};

/// Records requests and looks records up. Clones use the same service.
#[derive(Clone)]
pub struct Handle {
    pub(super) settings: Settings,
    pub(super) route: Route,
    pub(super) outage: outage::Outage,
    pub(super) stats: Stats,
    pub(super) ready: watch::Receiver<Option<sync::Arc<ready::Ready>>>,
    pub(super) forward: mpsc::Sender<forwarder::Forward>,
}

impl Handle {
    /// Returns the settings.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns what all daemons agree on, or what the settings ask for while it is not known.
    pub fn layout(&self) -> intents::Layout {
        let ready = self.ready.borrow();
        ready.as_ref().map_or_else(|| self.settings.layout(), |ready| ready.layout)
    }

    /// Returns what the records have cost.
    pub fn stats(&self) -> Counts {
        self.stats.counts()
    }

    /// Returns whether records can be written, by this daemon or through a peer.
    pub fn service_state(&self) -> coordinate::ServiceState {
        self.outage.state()
    }

    /// Records a request if no record stands yet.
    ///
    /// A caller that repeats a record word for word, nonce included, is told `Created` if it
    /// stands, so an unsure outcome can be settled by asking again. Takes at most a few times
    /// `try_ms`.
    pub async fn record(
        &self,
        key: &id::RequestKey,
        record: &request::Record,
    ) -> coordinate::RecordOutcome {
        let row = intents::Row { key: key.clone(), record: record.clone() };
        let Some(ready) = self.ready().await else {
            return self.record_through_peer(row).await.into();
        };
        let mut unsure = false;
        for member in self.ways(&ready, key) {
            let outcome = if member == self.route.own {
                commit_here(&ready, row.clone()).await
            } else {
                self.commit_there(member, row.clone()).await
            };
            match outcome {
                intents::Outcome::Created | intents::Outcome::Exists(_) => return outcome.into(),
                intents::Outcome::Expired => break,
                intents::Outcome::Unsure => unsure = true,
                intents::Outcome::Unavailable => {}
            }
        }
        if unsure {
            coordinate::RecordOutcome::Unsure
        } else {
            coordinate::RecordOutcome::Unavailable
        }
    }

    /// Looks a record up through the owner of its bucket, here, or through another peer.
    ///
    /// An absent record may still be written by whoever is writing it now.
    pub async fn look_up(&self, key: &id::RequestKey) -> coordinate::LookUp {
        let ready = self.ready().await;
        let ways = match &ready {
            Some(ready) => self.ways(ready, key),
            None => self.peers(key),
        };
        for member in ways {
            let found = match &ready {
                Some(ready) if member == self.route.own => look_up_here(ready, key).await,
                _ => self.look_up_there(member, key).await,
            };
            if let Ok(found) = found {
                return found.map_or(coordinate::LookUp::Absent, coordinate::LookUp::Found);
            }
        }
        coordinate::LookUp::Unavailable
    }

    /// Serves the calls of peers that concern records.
    pub fn serve_peers(&self, methods: &mut peer::Methods) {
        let here = self.clone();
        methods.commit = peer::Methods::method(move |_, request| {
            let here = here.clone();
            async move { here.commit_for_peer(request).await }
        });
        let here = self.clone();
        methods.look_up = peer::Methods::method(move |_, key| {
            let here = here.clone();
            async move { here.look_up_for_peer(&key).await }
        });
    }

    async fn commit_for_peer(
        &self,
        request: peer::CommitRequest,
    ) -> Result<Vec<peer::CommitOutcome>, error::Error> {
        let ready = self.ready().await.ok_or_else(no_layout)?;
        // Never passed on again, even if this daemon believes another one the owner.
        let commits = request
            .records
            .into_iter()
            .map(|(key, record)| commit_here(&ready, intents::Row { key, record }));
        let outcomes = futures::future::join_all(commits).await;
        Ok(outcomes.into_iter().map(forwarder::write_outcome).collect())
    }

    async fn look_up_for_peer(
        &self,
        key: &id::RequestKey,
    ) -> Result<Option<request::Record>, error::Error> {
        let ready = self.ready().await.ok_or_else(no_layout)?;
        look_up_here(&ready, key).await
    }

    async fn look_up_there(
        &self,
        member: id::Incarnation,
        key: &id::RequestKey,
    ) -> Result<Option<request::Record>, error::Error> {
        let call = (self.route.look_up)(member, key.clone(), self.settings.try_time());
        call.await.inspect(|_| self.outage.reached_through_peer())
    }

    /// Returns the ways to a record's bucket, in the order in which they are tried.
    fn ways(&self, ready: &ready::Ready, key: &id::RequestKey) -> Vec<id::Incarnation> {
        self.route.ways(intents::Slot::owner_key(ready.layout.slot(key).bucket))
    }

    /// Asks a member to write while this daemon does not know the layout.
    async fn record_through_peer(&self, row: intents::Row) -> intents::Outcome {
        let mut unsure = false;
        for member in self.peers(&row.key) {
            match self.commit_there(member, row.clone()).await {
                intents::Outcome::Unavailable => {}
                intents::Outcome::Unsure => unsure = true,
                outcome => return outcome,
            }
        }
        if unsure { intents::Outcome::Unsure } else { intents::Outcome::Unavailable }
    }

    async fn commit_there(&self, member: id::Incarnation, row: intents::Row) -> intents::Outcome {
        let (waiting, outcome) = waiting::Waiting::new(row);
        if self.forward.try_send((member, waiting)).is_err() {
            return intents::Outcome::Unavailable;
        }
        let outcome = outcome.await.unwrap_or(intents::Outcome::Unsure);
        if matches!(outcome, intents::Outcome::Created | intents::Outcome::Exists(_)) {
            self.outage.reached_through_peer();
        }
        outcome
    }

    fn peers(&self, key: &id::RequestKey) -> Vec<id::Incarnation> {
        let mut members = (self.route.owners)(key.stable_hash(), 3);
        members.retain(|member| *member != self.route.own);
        members.truncate(2);
        members
    }

    /// Waits for the layout, but not for long.
    async fn ready(&self) -> Option<sync::Arc<ready::Ready>> {
        let mut ready = self.ready.clone();
        let known = ready.wait_for(Option::is_some);
        let known = tokio::time::timeout(self.settings.try_time(), known).await.ok()?.ok()?;
        known.clone()
    }
}

async fn commit_here(ready: &ready::Ready, row: intents::Row) -> intents::Outcome {
    let (waiting, outcome) = waiting::Waiting::new(row);
    if !queue(ready, waiting::Job::Record(waiting)) {
        return intents::Outcome::Unavailable;
    }
    // A committer that ended may have written before.
    outcome.await.unwrap_or(intents::Outcome::Unsure)
}

async fn look_up_here(
    ready: &ready::Ready,
    key: &id::RequestKey,
) -> Result<Option<request::Record>, error::Error> {
    let (looking, found) = waiting::Looking::new(key.clone());
    if !queue(ready, waiting::Job::LookUp(looking)) {
        return Err(unread("too many records wait in the bucket"));
    }
    found.await.map_err(|_| unread("the record could not be read"))
}

/// Says whether the bucket had room.
fn queue(ready: &ready::Ready, job: waiting::Job) -> bool {
    let bucket = ready.layout.slot(job.key()).bucket;
    ready.queues.get(bucket as usize).is_some_and(|queue| queue.try_send(job).is_ok())
}

fn unread(message: &str) -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, message)
}

fn no_layout() -> error::Error {
    unread("the layout of records is not known yet")
}
