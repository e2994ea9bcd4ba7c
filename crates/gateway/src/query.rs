//! Querying other daemons for what they know of the store, instead of the store itself.

use std::{net, sync, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;

use crate::{feed, replies, state};

/// How long an answer may take: some forty times the way there and back.
const REPLY: time::Duration = time::Duration::from_millis(100);

/// From which age on a confirmation is too old to be passed on: a reader's own is at most one watch
/// old while its store answers.
const STALE: time::Duration = time::Duration::from_millis(1_500);

/// Stands for no hubs.
const UNCOUNTED: u64 = 0;

/// For how long it holds that the store answers none of those that read it: two queries, one of them lost.
const VALID: time::Duration = time::Duration::from_millis(1_000);

/// What another daemon knows of the store.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) view: gateway::StoreView,
    /// What leads from the own list of endpoints to the other daemon's.
    pub(crate) changes: Option<Vec<gateway::RosterChange>>,
}

/// What the daemons that read the store for others know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readers {
    /// One of them knows that this version is in force.
    Fresh(u64),
    /// Those that reply have not been answered by the store for a while.
    Silent,
    /// None of them replies.
    Unheard,
}

/// Queries that wait for their replies.
#[derive(Debug, Default)]
pub(crate) struct Queries {
    pub(crate) replies: replies::Replies<(), Reply>,
    /// When the readers last said that the store is silent.
    silent: sync::Mutex<Option<Timestamp>>,
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl feed::Feed {
    /// Says whether this daemon reads the store for others too.
    pub fn is_reader(&self) -> bool {
        self.shared.core().mesh.is_reader(self.now())
    }

    /// Says whether this daemon has known the source of the endpoints to be steady for long enough to tell who is gone.
    pub fn has_settled(&self) -> bool {
        self.shared.core().roster.has_settled(self.now())
    }

    /// Returns how long it takes until this daemon can tell which endpoints are gone; zero if it can.
    pub fn settles_in(&self) -> time::Duration {
        self.shared.core().roster.settles_in(self.now())
    }

    /// Asks those that read the store; confirms the configuration if one of them knows it fresh.
    pub async fn query_readers(&self) -> Readers {
        let mut found = Readers::Unheard;
        let readers = self.shared.core().mesh.readers_to_ask(self.now());
        for (place, reader) in readers.into_iter().enumerate() {
            let asked = self.now();
            let roster = self.shared.core().roster.mark();
            let quarantine = self.shared.core().quarantine.mark();
            let rollouts = self.shared.core().rollouts.mark();
            // One of them counts this daemon.
            let is_first = place == 0;
            let hub_mark =
                if is_first { self.shared.core().mesh.told_hub_mark(asked) } else { UNCOUNTED };
            let stamp = asked.as_micros();
            let query = gateway::Message::Query { stamp, roster, hub_mark, quarantine, rollouts };
            let Some(reply) = query_one(&self.shared, reader, stamp, &query).await else {
                continue;
            };
            let age = time::Duration::from_millis(u64::from(reply.view.confirmed));
            if age >= STALE {
                if found == Readers::Unheard {
                    found = Readers::Silent;
                }
                continue;
            }
            found = match found {
                Readers::Fresh(version) => Readers::Fresh(version.max(reply.view.version)),
                Readers::Silent | Readers::Unheard => Readers::Fresh(reply.view.version),
            };
            if self.believe(asked, roster, reply) {
                return found;
            }
        }
        if found == Readers::Silent {
            let mut core = self.shared.core();
            // Endpoints cannot list themselves either.
            core.roster.failed();
            // Nobody reads who is listed.
            if core.mesh.is_listed(self.now()) {
                core.mesh.note_entry(self.now() + VALID);
            }
            drop(core);
            *lock(&self.shared.queries.silent) = Some(self.now());
        }
        found
    }

    /// Says whether the store is known to answer neither this daemon nor those that read it for others:
    /// there is no use in calling it until they say otherwise.
    pub fn store_is_silent(&self) -> bool {
        let now = self.now();
        let is_told = lock(&self.shared.queries.silent).is_some_and(|at| now.since(at) < VALID);
        let core = self.shared.core();
        is_told && !core.mesh.is_reader(now) && !core.freshness.is_within(now, STALE)
    }

    /// Says whether the list of endpoints was read recently enough, here or by the daemon that told of it, and need not be
    /// read again to tell which entries are gone.
    pub fn endpoints_are_current(&self) -> bool {
        self.shared.core().roster.is_current(self.now(), self.shared.settings.list_age)
    }

    /// Takes over what another daemon knew when it replied to a query that was sent at `asked`, with
    /// the mark `roster` of the own list of endpoints.
    ///
    /// It answered after that, so what it knew is at most as old as it said, counted from then. An age
    /// that reaches back before the start of this daemon is cut off there: the version in force here
    /// was read since. The model is `passed_keys` in `trefoildyke_spec`.
    ///
    /// Says whether its list of endpoints may be followed as well; if not, another one is to be asked.
    fn believe(&self, asked: Timestamp, roster: u64, reply: Reply) -> bool {
        let view = reply.view;
        let before = |ms: u32| {
            let age = u64::from(ms) * 1_000;
            Timestamp::from_micros(asked.as_micros().saturating_sub(age))
        };
        let mut core = self.shared.core();
        let own = core.table.as_ref().map(|table| table.config().version);
        if own == Some(view.version) {
            core.freshness.confirm(before(view.confirmed));
        }
        if view.steady == 0 {
            core.roster.failed();
        } else if core.roster.may_follow(self.now(), before(view.read), before(view.steady)) {
            core.roster.assume_steady(before(view.steady));
        } else {
            return false;
        }
        drop(core);
        if let Some(changes) = reply.changes {
            self.follow(before(view.read), before(view.steady), roster, changes);
        }
        self.shared.core().roster.compare(view.roster, before(view.read));
        true
    }
}

async fn query_one(
    shared: &state::Shared,
    reader: net::SocketAddr,
    stamp: u64,
    query: &gateway::Message,
) -> Option<Reply> {
    let answer = shared.queries.replies.expect(shared.now(), stamp, ());
    shared.tell(query, &[reader]);
    let answer = tokio::time::timeout(REPLY, answer).await;
    if answer.is_err() {
        shared.doubt(reader, "does not reply to a query");
    }
    answer.ok()?.ok()
}
