//! The interface through which a gateway gets its configuration, endpoints and members.

use std::{sync, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::{record, state};

/// A handle that gives a gateway its configuration, its endpoints and the other daemons.
///
/// It is called by the code that follows the sources of these.
#[derive(Clone)]
pub struct Feed {
    pub(crate) shared: sync::Arc<state::Shared>,
}

impl Feed {
    pub(crate) const fn new(shared: sync::Arc<state::Shared>) -> Self {
        Self { shared }
    }

    /// Returns the gateway's time, to be used in calls of the other methods.
    pub fn now(&self) -> Timestamp {
        self.shared.now()
    }

    /// Puts a version of the configuration in force. `as_of` is the time at which the query was sent whose
    /// answer confirmed the version.
    ///
    /// A version that is not newer than the one in force is ignored.
    pub fn configure(&self, config: gateway::Config, as_of: Option<Timestamp>) {
        let now = self.now();
        let event = record::Event::Configured {
            version: config.version,
            routes: config.routes.len(),
            accounts: config.accounts.len(),
            keyless: config.keyless,
            unreadable: config.unreadable,
            duplicates: config.duplicates(),
            age_ms: as_of.map(|as_of| now.since(as_of).as_millis() as u64),
        };
        let mut core = self.shared.core();
        let is_new = core.configure(now, config);
        if let Some(as_of) = as_of {
            core.freshness.confirm(as_of);
            core.version_lag.note_confirmed(as_of);
        }
        drop(core);
        if is_new {
            self.shared.journal.write(&event);
        }
    }

    /// Logs a completed read of the configuration and adds it to the metrics.
    pub fn log_config_read(&self, read: record::ConfigRead) {
        self.shared.metrics.config_read(&read);
        self.shared.journal.write(&record::Event::ConfigRead { read });
    }

    /// Logs that a read of the configuration from `source` has failed after a time of length `after`.
    pub fn log_config_failure(&self, source: &'static str, after: time::Duration, reason: String) {
        let after_ms = after.as_millis() as u64;
        self.shared.metrics.config_read_failed(source);
        let event = record::Event::ConfigReadFailed { source, after_ms, reason };
        self.shared.journal.write(&event);
    }

    /// Records that the source has a configuration that cannot be read, with this version if it is known.
    ///
    /// Requests are not handled by the version in force here for long, as by any version that is known to have
    /// been replaced.
    pub fn record_unreadable_version(&self, version: Option<u64>) {
        let (now, mut core) = (self.now(), self.shared.core());
        let own = core.table.as_ref().map(|table| table.config().version);
        if let Some(own) = own {
            core.version_lag.note_version(now, own, version.unwrap_or(own + 1));
        }
    }

    /// Records that this daemon has begun to watch the configuration in the store, or, with a `reason`, that
    /// it has ceased to.
    pub fn record_config_watch(&self, reason: Option<String>) {
        self.shared.core().watches_config = reason.is_none();
        let event = record::Event::ConfigWatch { watching: reason.is_none(), reason };
        self.shared.journal.write(&event);
    }

    /// Records that the configuration was still in force at `as_of`.
    pub fn confirm(&self, as_of: Timestamp) {
        let mut core = self.shared.core();
        core.freshness.confirm(as_of);
        core.version_lag.note_confirmed(as_of);
    }

    /// Replaces the list of endpoints by one that was read now.
    pub fn set_endpoints(&self, list: Vec<gateway::RosterEntry>) {
        self.set_queried_endpoints(self.now(), list);
    }

    /// Replaces the list of endpoints by the answer to a query that was sent at `queried_at`.
    pub fn set_queried_endpoints(&self, queried_at: Timestamp, list: Vec<gateway::RosterEntry>) {
        let now = self.now();
        self.shared.update_availability("own read", None, |roster| {
            if roster.available_since().is_none() {
                roster.assume_available(now);
            }
        });
        self.change_endpoints(now, |roster| roster.replace(now, list));
        self.shared.core().record_list_query(queried_at);
    }

    /// Applies the changes between the list with the hash `from` and one that was read at `read`.
    pub(crate) fn apply_changes(
        &self,
        read: Timestamp,
        since: Timestamp,
        from: u64,
        changes: Vec<gateway::RosterChange>,
    ) {
        self.change_endpoints(self.now(), |roster| {
            roster.apply_changes(read, since, from, changes)
        });
    }

    fn change_endpoints(
        &self,
        now: Timestamp,
        change: impl FnOnce(&mut gateway::Roster) -> Vec<gateway::RosterChange>,
    ) {
        let changes = self.shared.update(|core| {
            let changes = change(&mut core.roster);
            core.apply_roster_changes(now, &changes);
            changes
        });
        for change in changes {
            self.log_change(change);
        }
    }

    /// Records that the source of the endpoints did not answer.
    pub fn record_endpoints_failure(&self) {
        self.shared.update_availability("own read failed", None, gateway::Roster::failed);
    }

    /// Replaces the list of all daemons.
    pub fn set_members(&self, list: &[gateway::Peer]) {
        let now = self.now();
        let mut core = self.shared.core();
        let before = core.mesh.others();
        let (hubs, before_hash) = (core.mesh.hubs().to_vec(), core.mesh.hub_hash());
        let is_first = core.set_members(now, list);
        let (count, is_changed) = (core.mesh.count(), core.mesh.others() != before);
        let hubs_changed = core.mesh.hub_hash() != before_hash;
        let hub_mark = core.mesh.reported_hub_hash(now);
        drop(core);
        if hubs_changed {
            self.shared.send(&gateway::Message::Hubs { hub_mark }, &hubs);
        }
        if is_first {
            self.shared.announce(state::DigestKind { starting: true, ..Default::default() });
        }
        if is_changed {
            self.shared.journal.write(&record::Event::Members { count });
        }
    }

    /// Records that this daemon's own membership entry lasts at least until `until`.
    pub fn extend_lease(&self, until: Timestamp) {
        self.shared.core().mesh.extend_lease(until);
    }

    /// Announces to all known daemons that this one is a member again. Its entry had lapsed, and most of the
    /// daemons would otherwise learn of the new entry only when they next read the list of members.
    pub fn rejoined(&self) {
        self.shared.core().rejoined = Some(self.now());
        self.shared.announce(state::DigestKind { starting: true, ..Default::default() });
    }

    /// Returns the number of known daemons, this one included.
    pub fn member_count(&self) -> usize {
        self.shared.core().mesh.count()
    }

    /// Returns the number of listed endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.shared.core().roster.len()
    }

    /// Returns the number of requests for a service that wait for a slot here, those of other daemons
    /// included.
    pub fn waiting_count(&self, service: &id::PoolName) -> usize {
        self.shared.core().service(service).pool.waiting()
    }

    /// Returns whether a message came since the last call from a daemon that is not a member.
    pub fn take_unlisted_heard(&self) -> bool {
        self.shared.core().mesh.take_unlisted_heard()
    }

    /// Records whether the source answered this daemon's last call, which decides which daemons read the
    /// source for others.
    pub fn record_store_answer(&self, is_answered: bool) {
        let mut core = self.shared.core();
        if core.mesh.note_answer(is_answered) {
            self.shared.set_changed();
        }
        if core.mesh.should_read_config(self.now()) {
            self.shared.config_needed.notify_one();
        }
    }

    /// Records whether the source answered this daemon's last call, which was for the configuration.
    pub fn record_config_answer(&self, is_answered: bool) {
        if self.shared.core().mesh.note_config_answer(is_answered) {
            self.shared.set_changed();
        }
    }

    /// Waits until the source answers other calls of this daemon again, while the other daemons need it to
    /// read the configuration.
    pub async fn config_needed(&self) {
        self.shared.config_needed.notified().await;
    }

    /// Logs that a dependency of the daemon does not answer.
    pub fn log_outage(&self, dependency: &'static str, reason: String) {
        self.shared.journal.write(&record::Event::Lost { dependency, reason });
    }

    /// Logs that a dependency answers again, after an outage of length `after`.
    pub fn log_recovery(&self, dependency: &'static str, after: time::Duration) {
        let after_ms = after.as_millis() as u64;
        self.shared.journal.write(&record::Event::Regained { dependency, after_ms });
    }

    /// Logs that the settings were read again.
    pub fn log_reload(&self, detail: String) {
        self.shared.journal.write(&record::Event::Reloaded { detail });
    }

    /// Returns the daemon's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.shared.core().incarnation()
    }

    fn log_change(&self, change: gateway::RosterChange) {
        match change {
            gateway::RosterChange::Listed(entry) => {
                if entry.draining {
                    self.shared.connections.forget(&entry.endpoint);
                }
                self.shared.journal.write(&record::Event::EndpointListed {
                    endpoint: entry.endpoint,
                    service: entry.service,
                    version: entry.version,
                    draining: entry.draining,
                });
            }
            gateway::RosterChange::Gone(endpoint) => {
                self.shared.connections.forget(&endpoint);
                self.shared.journal.write(&record::Event::EndpointGone { endpoint });
            }
        }
    }
}
