//! Querying other daemons for what they know of the store, instead of the store itself.

use std::{net, sync, time};

use tokio::sync::oneshot;
use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;

use crate::{feed, state};

/// How long an answer may take: some forty times the way there and back.
const REPLY: time::Duration = time::Duration::from_millis(100);

/// From which age on a confirmation is too old to be passed on: a reader's own is at most one watch
/// old while its store answers.
const STALE: time::Duration = time::Duration::from_millis(1_500);

/// How old a list of endpoints may be that is passed on: a reader's period, and a slow answer.
const OLD_LIST: time::Duration = time::Duration::from_millis(1_300);

/// For how long an answer about the list of endpoints holds: two queries, one of them lost.
const VALID: time::Duration = time::Duration::from_millis(1_000);

/// The latest reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latest {
    at: Timestamp,
    view: gateway::StoreView,
}

/// Queries that wait for their replies.
#[derive(Debug, Default)]
pub(crate) struct Queries {
    waiting: sync::Mutex<Vec<(u64, oneshot::Sender<gateway::StoreView>)>>,
    latest: sync::Mutex<Option<Latest>>,
}

impl Queries {
    /// Takes in a reply; one that nobody waits for any more is dropped.
    pub(crate) fn replied(&self, stamp: u64, view: gateway::StoreView) {
        let mut waiting = lock(&self.waiting);
        if let Some(place) = waiting.iter().position(|(waiting, _)| *waiting == stamp) {
            let (_, sender) = waiting.swap_remove(place);
            // The querying task may have given up at the same moment.
            let _ = sender.send(view);
        }
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl feed::Feed {
    /// Says whether this daemon reads the store for others too.
    pub fn is_reader(&self) -> bool {
        self.shared.core().mesh.is_reader()
    }

    /// Asks those that read the store; confirms the configuration if one of them knows it fresh.
    ///
    /// Returns the version that is in force there, or `None` if nobody has a fresh answer.
    pub async fn query_readers(&self) -> Option<u64> {
        let readers = self.shared.core().mesh.readers();
        let own = self.shared.settings.listen.peers;
        for reader in readers.into_iter().filter(|reader| *reader != own) {
            let asked = self.now();
            let Some(view) = query_one(&self.shared, reader, asked.as_micros()).await else {
                continue;
            };
            let age = time::Duration::from_millis(u64::from(view.confirmed));
            if age < STALE {
                self.believe(asked, view, age);
                return Some(view.version);
            }
        }
        None
    }

    /// Says whether the list of endpoints is known to be that of a daemon that reads it.
    pub fn endpoints_are_current(&self) -> bool {
        let Some(latest) = *lock(&self.shared.queries.latest) else { return false };
        let read = time::Duration::from_millis(u64::from(latest.view.read));
        let is_recent = self.now().since(latest.at) < VALID && read < OLD_LIST;
        is_recent && self.shared.core().roster.mark() == latest.view.roster
    }

    /// Takes over what another daemon knew when it replied to a query that was sent at `asked`.
    ///
    /// It answered after that, so what it knew is at most as old as it said, counted from then.
    fn believe(&self, asked: Timestamp, view: gateway::StoreView, age: time::Duration) {
        let before = |age: time::Duration| {
            Timestamp::from_micros(asked.as_micros().saturating_sub(age.as_micros() as u64))
        };
        let mut core = self.shared.core();
        let own = core.table.as_ref().map(|table| table.config().version);
        if own == Some(view.version) {
            core.freshness.confirm(before(age));
        }
        let steady = time::Duration::from_millis(u64::from(view.steady));
        if steady.is_zero() {
            core.roster.failed();
        } else {
            core.roster.assume_steady(before(steady));
        }
        drop(core);
        *lock(&self.shared.queries.latest) = Some(Latest { at: asked, view });
    }
}

async fn query_one(
    shared: &state::Shared,
    reader: net::SocketAddr,
    stamp: u64,
) -> Option<gateway::StoreView> {
    let (sender, answer) = oneshot::channel();
    lock(&shared.queries.waiting).push((stamp, sender));
    shared.tell(&gateway::Message::Query { stamp }, &[reader]);
    let answer = tokio::time::timeout(REPLY, answer).await;
    lock(&shared.queries.waiting).retain(|(waiting, _)| *waiting != stamp);
    answer.ok()?.ok()
}
