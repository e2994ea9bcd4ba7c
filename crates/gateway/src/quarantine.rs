//! Quarantines requests that crash endpoints, together with the other daemons.
//!
//! Every crash is reported to the hubs. The hubs decide when a request is quarantined, and each of them
//! tells all daemons, because the other hubs may be lost. A daemon that missed this, or has just started,
//! notices it by the hash of the crashes in the queries about the store.

use std::{net, time};

use trefoildyke_decide::gateway;

use crate::{feed, record, state};

/// How long the hubs are told again of a crash that this daemon saw: datagrams may be lost, and hubs may
/// restart.
const RESEND_PERIOD: time::Duration = time::Duration::from_secs(5);

impl feed::Feed {
    /// Returns whether this daemon is the one that stores the crashes which must outlast a restart of all
    /// daemons.
    pub fn stores_crashes(&self) -> bool {
        let core = self.shared.core();
        core.mesh.readers(self.now()).first() == Some(&core.mesh.own())
    }

    /// Returns a hash of what is quarantined, and of how many parts are for longer than a trial; 0 if there
    /// is nothing.
    pub fn quarantined_hash(&self) -> u64 {
        let (now, core) = (self.now(), self.shared.core());
        let parts = &core.part_quarantine;
        let lasting = (parts.lasting_count(now) as u64).rotate_right(8);
        core.quarantine.quarantined_hash() ^ parts.quarantined_hash(now) ^ lasting
    }

    /// Returns the crashes to be stored.
    pub fn crashes(&self) -> Vec<gateway::Crash> {
        self.shared.core().quarantine.shared(self.now())
    }

    /// Loads crashes that were stored `since_ms` milliseconds ago.
    pub fn load_crashes(&self, mut crashes: Vec<gateway::Crash>, since_ms: u32) {
        for crash in &mut crashes {
            crash.age_ms = crash.age_ms.saturating_add(since_ms);
        }
        self.shared.learn(&crashes);
    }
}

impl state::Shared {
    /// Returns the time after which the caller should retry if the request is quarantined; `None` if it is
    /// not.
    pub(crate) fn quarantined_for(
        &self,
        fingerprint: gateway::Fingerprint,
    ) -> Option<time::Duration> {
        let now = self.now();
        let mut guard = self.core();
        let core = &mut *guard;
        core.quarantine.quarantined_for(now, fingerprint)?;
        let changes =
            core.quarantine.refute_listed(now, fingerprint, |start, moment, entry_ttl| {
                core.roster.was_listed_after(now, start, moment, entry_ttl)
            });
        let quarantined_for = core.quarantine.quarantined_for(now, fingerprint);
        drop(guard);
        self.apply_quarantine(changes.as_deref().unwrap_or_default());
        quarantined_for
    }

    /// Records that a request was cut off at the endpoint of `grant`.
    pub(crate) fn record_crash(&self, fingerprint: gateway::Fingerprint, grant: &gateway::Grant) {
        let now = self.now();
        let recorded = self.core().quarantine.record_crash(now, fingerprint, grant);
        let Some((crash, changes)) = recorded else { return };
        let hubs = self.other_hubs();
        self.send(&gateway::Message::Crashes { crashes: vec![crash], asks: false }, &hubs);
        self.apply_quarantine(&changes);
    }

    /// Records that an endpoint ran a request to its end.
    pub(crate) fn record_completion(&self, fingerprint: gateway::Fingerprint) {
        let now = self.now();
        let mut core = self.core();
        let Some(changes) = core.quarantine.record_completion(now, fingerprint) else { return };
        let crashes = core.quarantine.crashes_of(now, fingerprint);
        drop(core);
        self.send(&gateway::Message::Crashes { crashes, asks: false }, &self.other_hubs());
        self.apply_quarantine(&changes);
    }

    /// Handles the crashes that another daemon knows of; replies with those known here if `asks` is set.
    pub(crate) fn handle_crashes(
        &self,
        from: net::SocketAddr,
        crashes: &[gateway::Crash],
        asks: bool,
    ) {
        self.learn(crashes);
        if asks {
            self.send_crashes(from, false);
        }
    }

    fn learn(&self, crashes: &[gateway::Crash]) {
        let now = self.now();
        let changes = self.core().quarantine.learn(now, crashes);
        self.apply_quarantine(&changes);
    }

    /// Sends what is known here of crashes to a daemon whose hash of it, `hash`, differs.
    pub(crate) fn sync_crashes(&self, from: net::SocketAddr, hash: u64) {
        if self.core().crash_hash() != hash {
            self.send_crashes(from, true);
            self.send_parts(from, true);
        }
    }

    /// Sends the hubs again the crashes that this daemon saw recently.
    pub(crate) fn resend_crashes(&self) {
        let crashes = self.core().quarantine.own_crashes(self.now(), RESEND_PERIOD);
        if !crashes.is_empty() {
            self.send(&gateway::Message::Crashes { crashes, asks: false }, &self.other_hubs());
        }
        let crashes = self.core().part_quarantine.own_crashes(self.now(), RESEND_PERIOD);
        if !crashes.is_empty() {
            self.report_parts(crashes, Vec::new());
        }
    }

    fn send_crashes(&self, to: net::SocketAddr, asks: bool) {
        let crashes = self.core().quarantine.shared(self.now());
        self.send(&gateway::Message::Crashes { crashes, asks }, &[to]);
    }

    pub(crate) fn other_hubs(&self) -> Vec<net::SocketAddr> {
        let core = self.core();
        let own = core.mesh.own();
        core.mesh.hubs().iter().copied().filter(|hub| *hub != own).collect()
    }

    /// Logs changes of the quarantine, and tells all daemons of newly quarantined requests if this daemon
    /// is a hub.
    fn apply_quarantine(&self, changes: &[gateway::QuarantineChange]) {
        for change in changes {
            match *change {
                gateway::QuarantineChange::Quarantined { fingerprint, crashes } => {
                    self.metrics.quarantined();
                    self.journal.write(&record::Event::Quarantined { fingerprint, ends: crashes });
                    self.broadcast_crashes(fingerprint);
                }
                gateway::QuarantineChange::Released(fingerprint) => {
                    self.journal.write(&record::Event::Released { fingerprint });
                }
            }
        }
    }

    fn broadcast_crashes(&self, fingerprint: gateway::Fingerprint) {
        let core = self.core();
        let own = core.mesh.own();
        if !core.mesh.hubs().contains(&own) {
            return;
        }
        let crashes = core.quarantine.crashes_of(self.now(), fingerprint);
        let others = core.mesh.others();
        drop(core);
        self.send(&gateway::Message::Crashes { crashes, asks: false }, &others);
    }
}
