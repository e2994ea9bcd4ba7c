//! Quarantines parts of prompts that crash endpoints, together with the other daemons.
//!
//! Every crash and every answer that refutes one is reported to the hubs. The hubs decide which parts are
//! quarantined, and each of them tells all daemons. A daemon that missed this, or has just started, notices
//! it by the hash in the queries about the store. A daemon that reaches no reader decides itself.

use std::{net, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;

use crate::{feed, record, state};

impl feed::Feed {
    /// Returns the crashes under parts of prompts to be stored.
    pub fn part_crashes(&self) -> Vec<gateway::PartCrash> {
        self.shared.core().part_quarantine.shared(self.now())
    }

    /// Loads crashes under parts of prompts that were stored `since_ms` milliseconds ago.
    pub fn load_part_crashes(&self, mut crashes: Vec<gateway::PartCrash>, since_ms: u32) {
        for crash in &mut crashes {
            crash.age_ms = crash.age_ms.saturating_add(since_ms);
        }
        self.shared.core().part_quarantine.learn(self.now(), &crashes);
    }
}

impl state::Shared {
    /// Returns the time after which the caller should retry if the parts of its prompt are quarantined;
    /// `None` if they are not.
    pub(crate) fn parts_quarantined_for(
        &self,
        parts: &[gateway::PartKey],
    ) -> Option<time::Duration> {
        self.core().part_quarantine.quarantined_for(self.now(), parts)
    }

    /// Records that a request was cut off at its endpoint.
    pub(crate) fn record_part_crash(&self, cut: &gateway::PartCut<'_>) {
        let report = self.core().part_quarantine.record_crash(self.now(), cut);
        if let Some(report) = report {
            self.report_parts(vec![report], Vec::new());
        }
    }

    /// Records that an endpoint has answered a request with these parts that was sent at `sent_at`.
    pub(crate) fn record_part_survival(&self, parts: &[gateway::PartKey], sent_at: Timestamp) {
        let survivals = self.core().part_quarantine.record_survival(self.now(), parts, sent_at);
        if !survivals.is_empty() {
            self.report_parts(Vec::new(), survivals);
        }
    }

    /// Handles a report of another daemon, and replies with what this daemon knows if `asks` is set.
    pub(crate) fn handle_parts(
        &self,
        from: net::SocketAddr,
        crashes: &[gateway::PartCrash],
        survivals: &[gateway::PartSurvival],
        quarantined: Option<&[gateway::QuarantinedParts]>,
        asks: bool,
    ) {
        let now = self.now();
        let mut core = self.core();
        core.part_quarantine.learn_survivals(now, survivals);
        let known = core.part_quarantine.learn(now, crashes);
        let deciders = deciders(&core.mesh, now);
        let changes = match quarantined.filter(|_| deciders.contains(&from)) {
            Some(quarantined) => {
                let decides = decides(&core.mesh, now);
                core.part_quarantine.adopt(now, from, quarantined, decides)
            }
            None => Vec::new(),
        };
        drop(core);
        self.log_part_changes(&changes);
        if !known.is_empty() {
            self.send_parts_to(known, Vec::new(), false, &[from]);
        }
        if asks {
            self.send_parts(from, false);
        }
    }

    /// Returns whether reports on parts have arrived that no decision reflects.
    pub(crate) fn has_part_reports(&self) -> bool {
        self.core().part_quarantine.is_stale()
    }

    /// Decides which parts are quarantined if that is up to this daemon, and tells all daemons of changes.
    pub(crate) fn decide_parts(&self) {
        let now = self.now();
        let mut guard = self.core();
        let core = &mut *guard;
        let deciders = deciders(&core.mesh, now);
        let mut changes = core.part_quarantine.retain_deciders(now, &deciders);
        let mut others = Vec::new();
        if decides(&core.mesh, now) {
            let roster = &core.roster;
            core.part_quarantine.refute_listed(now, |start, moment, entry_ttl| {
                roster.was_listed_after(now, start, moment, entry_ttl)
            });
            let decided = core.part_quarantine.decide(now);
            if !decided.is_empty() {
                others = core.mesh.others();
            }
            changes.extend(decided);
        } else {
            core.part_quarantine.refresh(now);
        }
        drop(guard);
        self.log_part_changes(&changes);
        if !others.is_empty() {
            self.send_parts_to(Vec::new(), Vec::new(), false, &others);
        }
    }

    /// Sends what this daemon knows of parts that crash endpoints.
    pub(crate) fn send_parts(&self, to: net::SocketAddr, asks: bool) {
        let crashes = self.core().part_quarantine.shared(self.now());
        self.send_parts_to(crashes, Vec::new(), asks, &[to]);
    }

    /// Reports crashes and survivals to the hubs.
    pub(crate) fn report_parts(
        &self,
        crashes: Vec<gateway::PartCrash>,
        survivals: Vec<gateway::PartSurvival>,
    ) {
        self.send_parts_to(crashes, survivals, false, &self.other_hubs());
    }

    fn send_parts_to(
        &self,
        crashes: Vec<gateway::PartCrash>,
        survivals: Vec<gateway::PartSurvival>,
        asks: bool,
        to: &[net::SocketAddr],
    ) {
        let core = self.core();
        let now = self.now();
        let decides = decides(&core.mesh, now);
        let quarantined = decides.then(|| core.part_quarantine.decided(now));
        drop(core);
        self.send(&gateway::Message::Parts { crashes, survivals, quarantined, asks }, to);
    }

    fn log_part_changes(&self, changes: &[gateway::PartChange]) {
        for change in changes {
            match change {
                gateway::PartChange::Quarantined { parts, crashes } => {
                    self.metrics.parts_quarantined();
                    let (parts, ends) = (parts.clone(), *crashes);
                    self.journal.write(&record::Event::PartsQuarantined { parts, ends });
                }
                gateway::PartChange::Released { parts } => {
                    self.journal.write(&record::Event::PartsReleased { parts: parts.clone() });
                }
            }
        }
    }
}

/// Returns the daemons that decide which parts are quarantined.
fn deciders(mesh: &gateway::Mesh, now: Timestamp) -> Vec<net::SocketAddr> {
    let mut deciders = mesh.readers(now);
    deciders.extend(mesh.hubs());
    deciders
}

/// Returns whether this daemon decides which parts are quarantined: it is a hub, or reaches no reader, from
/// which it would hear of the hubs' decisions.
fn decides(mesh: &gateway::Mesh, now: Timestamp) -> bool {
    let readers = mesh.readers(now);
    deciders(mesh, now).contains(&mesh.own())
        || !readers.iter().any(|reader| mesh.may_answer(now, *reader))
}
