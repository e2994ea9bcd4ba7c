//! Moving services to other versions of their endpoints, together with the other daemons.
//!
//! The daemon that places a service's requests decides. Whoever learns something new of a move tells it on if it is the one
//! that decides or reads the store; who missed that finds out by the mark in the questions about the store.

use std::net;

use trefoildyke_decide::gateway;

use crate::{feed, record, state};

impl feed::Feed {
    /// Takes in what lies in the store of moves to other versions: orders, and how far the moves are.
    pub fn rollouts(&self, rollouts: &[gateway::Rollout]) {
        let changes = self.shared.take_in(rollouts);
        if !changes.is_empty() {
            self.shared.tell_rollouts(&changes);
        }
    }

    /// Says whether a move is known of which it is not known how far it is.
    pub fn has_bare_order(&self) -> bool {
        let known = self.shared.core().rollouts.list(self.now());
        known.iter().any(|rollout| rollout.stage == gateway::Stage::Ordered)
    }

    /// Returns the next stages that this daemon is to write down, as it places the requests of these services.
    pub fn rollout_steps(&self) -> Vec<gateway::Rollout> {
        let now = self.now();
        let core = self.shared.core();
        let services: Vec<_> = core.rollouts.services().cloned().collect();
        let next = services.iter().filter_map(|service| core.judge(now, service));
        // The stop holds before it is written down.
        next.map(|(_, next)| next).filter(|next| next.stage != gateway::Stage::Stopped).collect()
    }

    /// Takes in that a stage was written down.
    pub fn rollout_written(&self, rollout: &gateway::Rollout) {
        self.shared.decided(rollout);
    }
}

impl state::Shared {
    /// Stops the moves that are found to be bad.
    pub(crate) fn follow_rollouts(&self) {
        let now = self.now();
        let core = self.core();
        if core.rollouts.mark() == 0 {
            return;
        }
        let services: Vec<_> = core.rollouts.services().cloned().collect();
        let next = services.iter().filter_map(|service| core.judge(now, service));
        let stops = next.map(|(_, next)| next).filter(|n| n.stage == gateway::Stage::Stopped);
        let stops: Vec<_> = stops.collect();
        drop(core);
        for stop in &stops {
            self.decided(stop);
        }
    }

    /// Acts by a stage that this daemon has decided.
    fn decided(&self, rollout: &gateway::Rollout) {
        let now = self.now();
        let seen = self.core().pool(&rollout.service).map(|pool| seen(pool, now, rollout));
        let changes = self.decide(|core| {
            let changes = core.rollouts.learn(now, std::slice::from_ref(rollout));
            core.set_gates(now);
            changes
        });
        for rollout in &changes {
            self.note_rollout(rollout, true, seen);
        }
        self.tell_rollouts(&changes);
    }

    /// Takes in moves; returns what is new.
    fn take_in(&self, rollouts: &[gateway::Rollout]) -> Vec<gateway::Rollout> {
        let now = self.now();
        let changes = self.decide(|core| {
            let changes = core.rollouts.learn(now, rollouts);
            if !changes.is_empty() {
                core.set_gates(now);
            }
            changes
        });
        for rollout in &changes {
            self.note_rollout(rollout, false, None);
        }
        changes
    }

    /// Takes in what another daemon knows of moves; tells it what it does not know if it asks.
    pub(crate) fn learn_rollouts(
        &self,
        from: net::SocketAddr,
        rollouts: &[gateway::Rollout],
        asks: bool,
    ) {
        self.take_in(rollouts);
        if asks {
            self.send_rollouts(from, false);
        }
    }

    /// Tells another daemon with the mark `mark` what is known here, if that is something else.
    pub(crate) fn compare_rollouts(&self, from: net::SocketAddr, mark: u64) {
        if self.core().rollouts.mark() != mark {
            self.send_rollouts(from, true);
        }
    }

    fn send_rollouts(&self, to: net::SocketAddr, asks: bool) {
        let rollouts = self.core().rollouts.list(self.now());
        self.tell(&gateway::Message::Rollouts { rollouts, asks }, &[to]);
    }

    /// Tells all daemons of moves.
    fn tell_rollouts(&self, rollouts: &[gateway::Rollout]) {
        if rollouts.is_empty() {
            return;
        }
        let others = self.core().mesh.others();
        let rollouts = rollouts.to_vec();
        self.tell(&gateway::Message::Rollouts { rollouts, asks: false }, &others);
    }

    fn note_rollout(&self, rollout: &gateway::Rollout, decided: bool, seen: Option<record::Tried>) {
        self.metrics.rollout(rollout.service.as_str(), rollout.stage);
        let rollout = rollout.clone();
        self.journal.write(&record::Event::Rollout { rollout, decided, seen });
    }
}

/// Returns what a decision on a move rests on.
fn seen(
    pool: &gateway::Pool,
    now: trefoildyke_types::time::Timestamp,
    rollout: &gateway::Rollout,
) -> record::Tried {
    let ((placed, tried), [(usual, new), (usual_late, new_late)]) = pool.tried();
    let evidence = match pool.finding(now, &rollout.to).comparison {
        gateway::Comparison::Bad { evidence } => Some(evidence),
        _ => None,
    };
    record::Tried {
        placed,
        tried,
        usual_answers: usual.count,
        usual_failed: usual.bad,
        usual_slow: usual_late.bad,
        tried_answers: new.count,
        tried_failed: new.bad,
        tried_slow: new_late.bad,
        evidence,
    }
}
