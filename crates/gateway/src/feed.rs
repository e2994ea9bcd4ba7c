//! How a gateway is told what to believe.

use std::{sync, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;

use crate::{record, state};

/// Tells a gateway of its configuration, of endpoints and of the other daemons.
///
/// Whoever follows the source of these calls it; the gateway decides what follows from them.
#[derive(Clone)]
pub struct Feed {
    pub(crate) shared: sync::Arc<state::Shared>,
}

impl Feed {
    pub(crate) const fn new(shared: sync::Arc<state::Shared>) -> Self {
        Self { shared }
    }

    /// Returns the gateway's time, for the moments that the other calls take.
    pub fn now(&self) -> Timestamp {
        self.shared.now()
    }

    /// Puts a version in force, which the source confirmed to a query sent at `as_of` if that is given.
    ///
    /// An older version than the one in force is ignored.
    pub fn configure(&self, config: gateway::Config, as_of: Option<Timestamp>) {
        let now = self.now();
        let event = record::Event::Configured {
            version: config.version,
            routes: config.routes.len(),
            accounts: config.accounts.len(),
            age_ms: as_of.map(|as_of| now.since(as_of).as_millis() as u64),
        };
        let mut core = self.shared.core();
        let is_new = core.configure(now, config);
        if let Some(as_of) = as_of {
            core.freshness.confirm(as_of);
        }
        drop(core);
        if is_new {
            self.shared.journal.write(&event);
        }
    }

    /// Notes that the configuration was still in force at `as_of`.
    pub fn confirm(&self, as_of: Timestamp) {
        self.shared.core().freshness.confirm(as_of);
    }

    /// Takes in the whole list of endpoints as it was at `as_of` or later.
    pub fn endpoints(&self, list: Vec<gateway::RosterEntry>) {
        let now = self.now();
        self.change_endpoints(now, |roster| roster.replace(now, list));
    }

    /// Takes in what changed between the list with the mark `from` and one read at `read`.
    pub(crate) fn follow(
        &self,
        read: Timestamp,
        since: Timestamp,
        from: u64,
        changes: Vec<gateway::RosterChange>,
    ) {
        self.change_endpoints(self.now(), |roster| roster.follow(read, since, from, changes));
    }

    fn change_endpoints(
        &self,
        now: Timestamp,
        change: impl FnOnce(&mut gateway::Roster) -> Vec<gateway::RosterChange>,
    ) {
        let changes = self.shared.decide(|core| {
            let changes = change(&mut core.roster);
            core.list(now, &changes);
            changes
        });
        for change in changes {
            self.note(change);
        }
    }

    /// Notes that the source of the endpoints did not answer.
    pub fn endpoints_unknown(&self) {
        self.shared.core().roster.failed();
    }

    /// Takes in the list of all daemons.
    pub fn members(&self, list: &[gateway::Peer]) {
        let now = self.now();
        let mut core = self.shared.core();
        let before = core.mesh.others();
        let (hubs, before_mark) = (core.mesh.hubs().to_vec(), core.mesh.hub_mark());
        let is_first = core.members(now, list);
        let (count, is_changed) = (core.mesh.count(), core.mesh.others() != before);
        let has_moved = core.mesh.hub_mark() != before_mark;
        let hub_mark = core.mesh.told_hub_mark(now);
        drop(core);
        if has_moved {
            self.shared.tell(&gateway::Message::Hubs { hub_mark }, &hubs);
        }
        if is_first {
            self.shared.announce(state::DigestKind { starting: true, ..Default::default() });
        }
        if is_changed {
            self.shared.journal.write(&record::Event::Members { count });
        }
    }

    /// Notes that this daemon's own entry among the members lasts until `until` at least.
    pub fn listed(&self, until: Timestamp) {
        self.shared.core().mesh.note_entry(until);
    }

    /// Says to all known daemons that this one is a member again: its entry had lapsed, and most read the list later.
    pub fn rejoined(&self) {
        self.shared.core().rejoined = Some(self.now());
        self.shared.announce(state::DigestKind { starting: true, ..Default::default() });
    }

    /// Returns how many daemons are known, this one included.
    pub fn member_count(&self) -> usize {
        self.shared.core().mesh.count()
    }

    /// Returns how many endpoints are listed.
    pub fn endpoint_count(&self) -> usize {
        self.shared.core().roster.len()
    }

    /// Says whether a daemon that is not among the members was heard since the last call.
    pub fn take_stranger(&self) -> bool {
        self.shared.core().mesh.take_stranger()
    }

    /// Notes whether the source has answered this daemon's last call, which decides who reads it for others.
    pub fn answered(&self, is_answered: bool) {
        if self.shared.core().mesh.note_answer(is_answered) {
            self.shared.set_changed();
        }
    }

    /// Logs that something the daemon depends on does not answer.
    pub fn lost(&self, dependency: &'static str, reason: String) {
        self.shared.journal.write(&record::Event::Lost { dependency, reason });
    }

    /// Logs that it answers again.
    pub fn regained(&self, dependency: &'static str, after: time::Duration) {
        let after_ms = after.as_millis() as u64;
        self.shared.journal.write(&record::Event::Regained { dependency, after_ms });
    }

    /// Logs that settings were read again.
    pub fn reloaded(&self, detail: String) {
        self.shared.journal.write(&record::Event::Reloaded { detail });
    }

    /// Returns the daemon's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.shared.core().incarnation()
    }

    fn note(&self, change: gateway::RosterChange) {
        match change {
            gateway::RosterChange::Listed(entry) => {
                if entry.draining {
                    self.shared.links.forget(&entry.endpoint);
                }
                self.shared.journal.write(&record::Event::EndpointListed {
                    endpoint: entry.endpoint,
                    service: entry.service,
                    version: entry.version,
                    draining: entry.draining,
                });
            }
            gateway::RosterChange::Gone(endpoint) => {
                self.shared.links.forget(&endpoint);
                self.shared.journal.write(&record::Event::EndpointGone { endpoint });
            }
        }
    }
}
