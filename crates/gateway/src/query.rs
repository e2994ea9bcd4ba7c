//! Asks other daemons for what they read from the store, in place of reading the store itself.

use std::{net, sync, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;

use crate::{feed, pending_replies, record};

/// How long to wait for a reply: about forty round trips.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// How long to wait for a reply after no reader has replied within `REPLY_TIMEOUT`. The two rounds and a read
/// of a large configuration over a slow link take less than two seconds.
const RETRY_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// The age up to which a confirmation shows that the store answers a reader. A reader's own confirmation is
/// no older than one watch interval, unless it is receiving a large version over a slow link.
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
    /// Whether the store has answered the other daemon's last call.
    pub(crate) is_answered: bool,
    /// Whether the other daemon watches the configuration in the store.
    pub(crate) watches: bool,
    /// The changes from this daemon's list of endpoints to the other daemon's.
    pub(crate) changes: Option<Vec<gateway::RosterChange>>,
}

/// What the daemons that read the store for others know of it, in increasing order of how much it tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(tag = "status", content = "version", rename_all = "snake_case")]
pub enum ReaderStatus {
    /// No reader replied.
    Unreachable,
    /// The readers that replied have had no answer from the store for a while.
    Silent,
    /// The store answers a reader, which has had no confirmation for long: the version in the store cannot be
    /// read.
    Unconfirmed,
    /// A reader has had no confirmation for a while, but the store has answered its last call: it may be
    /// receiving a large version over a slow link.
    Waiting,
    /// A reader has this version, which is newer than the one in force here, but not confirmed lately.
    Newer(u64),
    /// A reader knows that this version is in force.
    Fresh(u64),
}

impl ReaderStatus {
    /// Returns what two readers together know.
    fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Fresh(version), Self::Newer(newer))
            | (Self::Newer(newer), Self::Fresh(version)) => Self::Fresh(version.max(newer)),
            (one, another) => one.max(another),
        }
    }
}

/// The queries that wait for replies.
#[derive(Debug, Default)]
pub(crate) struct Queries {
    pub(crate) replies: pending_replies::PendingReplies<(), Reply>,
    /// When the readers last reported that the store is silent.
    reported_silent: sync::Mutex<Option<Timestamp>>,
    /// What the readers last reported.
    last_status: sync::Mutex<Option<ReaderStatus>>,
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
    ///
    /// If none of them replies, they are queried once more with a longer timeout: on a busy host, a reply may
    /// take longer than usual, and a read of the store transfers the whole configuration.
    pub async fn query_readers(&self) -> ReaderStatus {
        let mut found = self.query_each_reader(REPLY_TIMEOUT).await;
        if found == ReaderStatus::Unreachable {
            found = self.query_each_reader(RETRY_TIMEOUT).await;
        }
        if found == ReaderStatus::Silent {
            self.record_silence();
        }
        self.log_status(found);
        found
    }

    /// Logs what the readers report if its kind has changed.
    fn log_status(&self, status: ReaderStatus) {
        let before = lock(&self.shared.queries.last_status).replace(status);
        if before.as_ref().map(std::mem::discriminant) == Some(std::mem::discriminant(&status)) {
            return;
        }
        let age = self.shared.core().freshness.age(self.now());
        let age_ms = age.map(|age| age.as_millis() as u64);
        self.shared.journal.write(&record::Event::ReaderStatus { status, age_ms });
    }

    /// Queries the readers in turn until the list of endpoints could be followed too; each reply may take
    /// `timeout`.
    async fn query_each_reader(&self, timeout: time::Duration) -> ReaderStatus {
        let mut found = ReaderStatus::Unreachable;
        let readers = self.shared.core().mesh.readers_to_ask(self.now());
        for (index, reader) in readers.into_iter().enumerate() {
            let sent_at = self.now();
            let roster = self.shared.core().roster.hash();
            // Only the first reader is sent the hub mark, so that only one reader counts this daemon as its
            // client.
            let is_first = index == 0;
            let hub_mark =
                if is_first { self.shared.core().mesh.reported_hub_hash(sent_at) } else { NO_HUBS };
            let reply = self.query_reader(reader, sent_at, roster, hub_mark, timeout).await;
            let Some(reply) = reply else { continue };
            let status = self.apply_confirmation(sent_at, &reply);
            found = found.combine(status);
            if matches!(status, ReaderStatus::Fresh(_))
                && self.apply_list(sent_at, reader, roster, reply)
            {
                return found;
            }
        }
        found
    }

    /// Returns whether another reader watches the configuration in the store and has a version that is not
    /// older than `version`.
    ///
    /// A confirmation of a daemon that does not watch is not enough, because it may come from this daemon.
    pub async fn has_other_watcher(&self, version: Option<u64>) -> bool {
        let readers = self.shared.core().mesh.readers_to_ask(self.now());
        let is_watcher = |reply: Reply| {
            reply.watches
                && reply.view.confirmed_age() < MAX_CONFIRMATION_AGE
                && Some(reply.view.version) >= version
        };
        for reader in readers {
            let sent_at = self.now();
            let roster = self.shared.core().roster.hash();
            let reply = self.query_reader(reader, sent_at, roster, NO_HUBS, REPLY_TIMEOUT).await;
            if reply.is_some_and(is_watcher) {
                return true;
            }
        }
        false
    }

    /// Queries one reader, which counts this daemon as its client if `hub_mark` is its hash of the hubs.
    async fn query_reader(
        &self,
        reader: net::SocketAddr,
        sent_at: Timestamp,
        roster: u64,
        hub_mark: u64,
        timeout: time::Duration,
    ) -> Option<Reply> {
        let stamp = sent_at.as_micros();
        let quarantine = self.shared.core().crash_hash();
        let rollouts = self.shared.core().rollouts.hash();
        let query = gateway::Message::Query { stamp, roster, hub_mark, quarantine, rollouts };
        let reply = self.shared.queries.replies.register(self.now(), stamp, ());
        self.shared.send(&query, &[reader]);
        let reply = tokio::time::timeout(timeout, reply).await;
        if reply.is_err() {
            self.shared.suspect_peer(reader, "does not reply to a query");
        }
        reply.ok()?.ok()
    }

    /// Records that the store answers none of the readers.
    fn record_silence(&self) {
        // While the store is silent, endpoints cannot renew their entries either.
        self.shared.update_availability("readers silent", None, gateway::Roster::failed);
        let mut core = self.shared.core();
        // While the store is silent, no daemon can read that this daemon's entry has lapsed, so the entry
        // stays valid.
        if core.mesh.is_listed(self.now()) {
            core.mesh.extend_lease(self.now() + SILENCE_VALIDITY);
        }
        drop(core);
        *lock(&self.shared.queries.reported_silent) = Some(self.now());
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

    /// Applies what a reply to a query that was sent at `sent_at` says of the configuration; returns what it
    /// says of the reader.
    ///
    /// The daemon replied after `sent_at`, so its knowledge is at most as old as it said, counted from
    /// `sent_at`. The model is `passed_keys` in `trefoildyke_spec`.
    fn apply_confirmation(&self, sent_at: Timestamp, reply: &Reply) -> ReaderStatus {
        let view = reply.view;
        let age = view.confirmed_age();
        let mut core = self.shared.core();
        let own = core.table.as_ref().map(|table| table.config().version);
        if own == Some(view.version) {
            core.freshness.confirm(before(sent_at, view.confirmed));
        }
        if let Some(own) = own {
            core.version_lag.note_version(self.now(), own, view.version);
        }
        drop(core);
        if age < MAX_CONFIRMATION_AGE {
            ReaderStatus::Fresh(view.version)
        } else if own < Some(view.version) {
            ReaderStatus::Newer(view.version)
        } else if reply.is_answered && age < self.shared.settings.max_key_age {
            ReaderStatus::Waiting
        } else if reply.is_answered {
            ReaderStatus::Unconfirmed
        } else {
            ReaderStatus::Silent
        }
    }

    /// Applies what a reply to a query that was sent at `sent_at` with the hash `roster` of this daemon's
    /// list of endpoints says of that list. Returns whether the list could be followed; if not, the next
    /// reader has to be queried.
    fn apply_list(
        &self,
        sent_at: Timestamp,
        reader: net::SocketAddr,
        roster: u64,
        reply: Reply,
    ) -> bool {
        let view = reply.view;
        let (read_at, since) = (before(sent_at, view.read), before(sent_at, view.steady));
        let now = self.now();
        let is_accepted = self.shared.update_availability("report", Some(reader), |list| {
            if view.steady == 0 {
                list.record_unknown(now);
                return false;
            }
            list.record_answer(sent_at);
            let is_accepted = list.may_accept(now, read_at, since);
            if is_accepted {
                list.assume_available(since);
            }
            is_accepted
        });
        if !is_accepted {
            return false;
        }
        if let Some(changes) = reply.changes {
            self.apply_changes(read_at, since, roster, changes);
        }
        let mut core = self.shared.core();
        if let Some(age_ms) = view.queried.filter(|_| core.roster.hash() == view.roster) {
            core.record_list_query(before(sent_at, age_ms));
        }
        core.roster.record_other_list(view.roster, read_at);
        true
    }
}

/// Returns the time `ms` milliseconds before `sent_at`, cut off at the start of this daemon: the version in
/// force here was read since then.
fn before(sent_at: Timestamp, ms: u32) -> Timestamp {
    Timestamp::from_micros(sent_at.as_micros().saturating_sub(u64::from(ms) * 1_000))
}
