//! Keeping requests that end endpoints from further ones, together with the other daemons.
//!
//! Every end is told to the hubs. Those know when a request is to be sent nowhere, and each tells all, since the others may be
//! lost; who missed that, or has just started, finds out by the mark in the questions about the store.

use std::{net, time};

use trefoildyke_decide::gateway;

use crate::{feed, record, state};

/// For how long the hubs are told again of an end that this daemon saw: datagrams may be lost, and hubs may start again.
const REPEATED: time::Duration = time::Duration::from_secs(5);

impl feed::Feed {
    /// Says whether this daemon is the one to write down what must outlast all daemons of requests that end endpoints.
    pub fn keeps_crashes(&self) -> bool {
        let core = self.shared.core();
        core.mesh.readers(self.now()).first() == Some(&core.mesh.own())
    }

    /// Returns a number that stands for the requests that are sent nowhere since they end endpoints; 0 if there are none.
    pub fn held_mark(&self) -> u64 {
        self.shared.core().quarantine.held_mark()
    }

    /// Returns what is to be written down of such requests.
    pub fn crashes(&self) -> Vec<gateway::Crash> {
        self.shared.core().quarantine.shared(self.now())
    }

    /// Takes in what was kept `since_ms` milliseconds ago.
    pub fn recall_crashes(&self, mut crashes: Vec<gateway::Crash>, since_ms: u32) {
        for crash in &mut crashes {
            crash.age_ms = crash.age_ms.saturating_add(since_ms);
        }
        self.shared.learn(&crashes);
    }
}

impl state::Shared {
    /// Says whether a request is sent nowhere since it ends endpoints, and when its caller should come back.
    pub(crate) fn held(&self, fingerprint: gateway::Fingerprint) -> Option<time::Duration> {
        let now = self.now();
        let mut guard = self.core();
        let core = &mut *guard;
        core.quarantine.held(now, fingerprint)?;
        let changes = core.quarantine.compare(now, fingerprint, |start, moment, lapse| {
            core.roster.outlived(now, start, moment, lapse)
        });
        let held = core.quarantine.held(now, fingerprint);
        drop(guard);
        self.note_quarantine(changes.as_deref().unwrap_or_default());
        held
    }

    /// Notes that a request was cut off where `grant` is.
    pub(crate) fn cut_off(&self, fingerprint: gateway::Fingerprint, grant: &gateway::Grant) {
        let now = self.now();
        let (crash, changes) = self.core().quarantine.ended(now, fingerprint, grant);
        let hubs = self.other_hubs();
        self.tell(&gateway::Message::Crashes { crashes: vec![crash], asks: false }, &hubs);
        self.note_quarantine(&changes);
    }

    /// Notes that an endpoint has run a request to its end.
    pub(crate) fn survived(&self, fingerprint: gateway::Fingerprint) {
        let now = self.now();
        let mut core = self.core();
        let Some(changes) = core.quarantine.survived(now, fingerprint) else { return };
        let crashes = core.quarantine.of(now, fingerprint);
        drop(core);
        self.tell(&gateway::Message::Crashes { crashes, asks: false }, &self.other_hubs());
        self.note_quarantine(&changes);
    }

    /// Takes in what another daemon knows of requests that end endpoints; tells it what it does not know if it asks.
    pub(crate) fn learn_crashes(
        &self,
        from: net::SocketAddr,
        crashes: &[gateway::Crash],
        asks: bool,
    ) {
        self.learn(crashes);
        if asks {
            self.tell_crashes(from, false);
        }
    }

    fn learn(&self, crashes: &[gateway::Crash]) {
        let now = self.now();
        let changes = self.core().quarantine.learn(now, crashes);
        self.note_quarantine(&changes);
    }

    /// Tells another daemon with the mark `mark` what is known here, if that is something else.
    pub(crate) fn compare_crashes(&self, from: net::SocketAddr, mark: u64) {
        if self.core().quarantine.mark() != mark {
            self.tell_crashes(from, true);
        }
    }

    /// Tells the hubs again what this daemon saw of late.
    pub(crate) fn repeat_crashes(&self) {
        let crashes = self.core().quarantine.own(self.now(), REPEATED);
        if !crashes.is_empty() {
            self.tell(&gateway::Message::Crashes { crashes, asks: false }, &self.other_hubs());
        }
    }

    fn tell_crashes(&self, to: net::SocketAddr, asks: bool) {
        let crashes = self.core().quarantine.shared(self.now());
        self.tell(&gateway::Message::Crashes { crashes, asks }, &[to]);
    }

    fn other_hubs(&self) -> Vec<net::SocketAddr> {
        let core = self.core();
        let own = core.mesh.own();
        core.mesh.hubs().iter().copied().filter(|hub| *hub != own).collect()
    }

    /// Logs changes, and tells all daemons if that is this one's part.
    fn note_quarantine(&self, changes: &[gateway::QuarantineChange]) {
        for change in changes {
            match *change {
                gateway::QuarantineChange::Held { fingerprint, ends } => {
                    self.metrics.quarantined();
                    self.journal.write(&record::Event::Quarantined { fingerprint, ends });
                    self.tell_all(fingerprint);
                }
                gateway::QuarantineChange::Released(fingerprint) => {
                    self.journal.write(&record::Event::Released { fingerprint });
                }
            }
        }
    }

    fn tell_all(&self, fingerprint: gateway::Fingerprint) {
        let core = self.core();
        let own = core.mesh.own();
        if !core.mesh.hubs().contains(&own) {
            return;
        }
        let crashes = core.quarantine.of(self.now(), fingerprint);
        let others = core.mesh.others();
        drop(core);
        self.tell(&gateway::Message::Crashes { crashes, asks: false }, &others);
    }
}
