//! Asks other daemons for what they read from the store, in place of reading the store itself.

use std::{net, sync, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;

use crate::{feed, pending_replies, state};

/// How long to wait for a reply: about forty round trips.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// The age from which on a confirmation is too old to be passed on. While the store answers, a reader's own
/// confirmation is no older than one watch interval.
const MAX_CONFIRMATION_AGE: time::Duration = time::Duration::from_millis(1_500);

/// The hash of the hubs that stands for no hubs.
const NO_HUBS: u64 = 0;

/// How long the readers' report that the store is silent stays valid: two queries, one of which may be
/// lost.
const SILENCE_VALIDITY: time::Duration = time::Duration::from_millis(1_000);

/// What another daemon knows of the store.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) view: gateway::StoreView,
    /// The changes from this daemon's list of endpoints to the other daemon's.
    pub(crate) changes: Option<Vec<gateway::RosterChange>>,
}

/// What the daemons that read the store for others know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderStatus {
    /// A reader knows that this version is in force.
    Fresh(u64),
    /// The readers that replied have had no answer from the store for a while.
    Silent,
    /// No reader replied.
    Unreachable,
}

/// The queries that wait for replies.
#[derive(Debug, Default)]
pub(crate) struct Queries {
    pub(crate) replies: pending_replies::PendingReplies<(), Reply>,
    /// When the readers last reported that the store is silent.
    reported_silent: sync::Mutex<Option<Timestamp>>,
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl feed::Feed {
    /// Returns whether this daemon also reads the store for others.
    pub fn is_reader(&self) -> bool {
        self.shared.is_reader()
    }

    /// Returns whether the source of the endpoints has been available for long enough to tell which endpoints
    /// are gone.
    pub fn has_settled(&self) -> bool {
        self.shared.core().roster.has_settled(self.now())
    }

    /// Returns how long it takes until this daemon can tell which endpoints are gone; zero if it already
    /// can.
    pub fn time_to_settle(&self) -> time::Duration {
        self.shared.core().roster.settles_in(self.now())
    }

    /// Queries the readers of the store, and confirms the configuration if one of them has a fresh
    /// confirmation.
    pub async fn query_readers(&self) -> ReaderStatus {
        let mut found = ReaderStatus::Unreachable;
        let readers = self.shared.core().mesh.readers_to_ask(self.now());
        for (index, reader) in readers.into_iter().enumerate() {
            let sent_at = self.now();
            let roster = self.shared.core().roster.hash();
            let quarantine = self.shared.core().quarantine.hash();
            let rollouts = self.shared.core().rollouts.hash();
            // Only the first reader is sent the hub mark, so that only one reader counts this daemon as its
            // client.
            let is_first = index == 0;
            let hub_mark =
                if is_first { self.shared.core().mesh.reported_hub_hash(sent_at) } else { NO_HUBS };
            let stamp = sent_at.as_micros();
            let query = gateway::Message::Query { stamp, roster, hub_mark, quarantine, rollouts };
            let Some(reply) = query_one(&self.shared, reader, stamp, &query).await else {
                continue;
            };
            let age = time::Duration::from_millis(u64::from(reply.view.confirmed));
            if age >= MAX_CONFIRMATION_AGE {
                if found == ReaderStatus::Unreachable {
                    found = ReaderStatus::Silent;
                }
                continue;
            }
            found = match found {
                ReaderStatus::Fresh(version) => {
                    ReaderStatus::Fresh(version.max(reply.view.version))
                }
                ReaderStatus::Silent | ReaderStatus::Unreachable => {
                    ReaderStatus::Fresh(reply.view.version)
                }
            };
            if self.apply_reply(sent_at, reader, roster, reply) {
                return found;
            }
        }
        if found == ReaderStatus::Silent {
            // While the store is silent, endpoints cannot renew their entries either.
            self.shared.update_availability("readers silent", None, gateway::Roster::failed);
            let mut core = self.shared.core();
            // While the store is silent, no daemon can read that this daemon's entry has lapsed, so the
            // entry stays valid.
            if core.mesh.is_listed(self.now()) {
                core.mesh.extend_lease(self.now() + SILENCE_VALIDITY);
            }
            drop(core);
            *lock(&self.shared.queries.reported_silent) = Some(self.now());
        }
        found
    }

    /// Returns whether the store is known to answer neither this daemon nor its readers: there is no use in
    /// calling it until a reader reports otherwise.
    pub fn store_is_silent(&self) -> bool {
        let now = self.now();
        let is_reported = lock(&self.shared.queries.reported_silent)
            .is_some_and(|at| now.since(at) < SILENCE_VALIDITY);
        let core = self.shared.core();
        is_reported
            && !core.mesh.is_reader(now)
            && !core.freshness.is_within(now, MAX_CONFIRMATION_AGE)
    }

    /// Returns whether the list of endpoints, read here or by the daemon that sent it, is recent enough to
    /// tell which entries are gone without reading it again.
    pub fn endpoints_are_current(&self) -> bool {
        self.shared.core().roster.is_current(self.now(), self.shared.settings.max_list_age)
    }

    /// Applies a reply to a query that was sent at `sent_at` with the hash `roster` of this daemon's list of
    /// endpoints.
    ///
    /// The daemon replied after `sent_at`, so its knowledge is at most as old as it said, counted from
    /// `sent_at`. An age that reaches back to before the start of this daemon is cut off there: the version
    /// in force here was read since then. The model is `passed_keys` in `trefoildyke_spec`.
    ///
    /// Returns whether the list of endpoints could be followed as well; if not, the next reader has to be
    /// queried.
    fn apply_reply(
        &self,
        sent_at: Timestamp,
        reader: net::SocketAddr,
        roster: u64,
        reply: Reply,
    ) -> bool {
        let view = reply.view;
        let before = |ms: u32| {
            let age = u64::from(ms) * 1_000;
            Timestamp::from_micros(sent_at.as_micros().saturating_sub(age))
        };
        let mut core = self.shared.core();
        let own = core.table.as_ref().map(|table| table.config().version);
        if own == Some(view.version) {
            core.freshness.confirm(before(view.confirmed));
        }
        if let Some(own) = own {
            core.version_lag.note_version(self.now(), own, view.version);
        }
        drop(core);
        let now = self.now();
        let is_accepted = self.shared.update_availability("report", Some(reader), |roster| {
            if view.steady == 0 {
                roster.record_unknown(now);
                return false;
            }
            roster.record_answer(sent_at);
            let is_accepted = roster.may_accept(now, before(view.read), before(view.steady));
            if is_accepted {
                roster.assume_available(before(view.steady));
            }
            is_accepted
        });
        if !is_accepted {
            return false;
        }
        if let Some(changes) = reply.changes {
            self.apply_changes(before(view.read), before(view.steady), roster, changes);
        }
        self.shared.core().roster.record_other_list(view.roster, before(view.read));
        true
    }
}

async fn query_one(
    shared: &state::Shared,
    reader: net::SocketAddr,
    stamp: u64,
    query: &gateway::Message,
) -> Option<Reply> {
    let reply = shared.queries.replies.register(shared.now(), stamp, ());
    shared.send(query, &[reader]);
    let reply = tokio::time::timeout(REPLY_TIMEOUT, reply).await;
    if reply.is_err() {
        shared.suspect_peer(reader, "does not reply to a query");
    }
    reply.ok()?.ok()
}
