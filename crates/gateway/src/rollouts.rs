//! Rolls out new versions of a service's endpoints, together with the other daemons.
//!
//! The daemon that places a service's requests decides. A daemon that learns something new of a rollout
//! tells all others if it made the decision or read it from the store. A daemon that missed this notices it
//! by the hash of the rollouts in the queries about the store.

use std::net;

use trefoildyke_decide::gateway;

use crate::{feed, record, state};

impl feed::Feed {
    /// Handles the rollouts in the store: the orders, and the stages they have reached.
    pub fn apply_rollouts(&self, rollouts: &[gateway::Rollout]) {
        let changes = self.shared.apply_rollouts(rollouts);
        if !changes.is_empty() {
            self.shared.broadcast_rollouts(&changes);
        }
    }

    /// Records that all orders in the store were read and passed on.
    ///
    /// Until then, each service gets requests at one version only, as another one may be a canary.
    pub fn note_orders_read(&self) {
        let now = self.now();
        self.shared.update(|core| {
            core.rollouts.note_orders_read();
            core.set_gates(now);
        });
    }

    /// Returns whether a rollout is known only by its order, without any later stage.
    pub fn has_bare_order(&self) -> bool {
        let known = self.shared.core().rollouts.list(self.now());
        known.iter().any(|rollout| rollout.stage == gateway::Stage::Ordered)
    }

    /// Returns the next stages that this daemon has to store, for the services whose requests it places.
    pub fn rollout_steps(&self) -> Vec<gateway::Rollout> {
        let now = self.now();
        let core = self.shared.core();
        let services: Vec<_> = core.rollouts.services().cloned().collect();
        let next = services.iter().filter_map(|service| core.evaluate_rollout(now, service));
        // A stop takes effect before it is stored.
        next.map(|(_, next)| next).filter(|next| next.stage != gateway::Stage::Stopped).collect()
    }

    /// Applies a stage that was stored.
    pub fn record_stored_rollout(&self, rollout: &gateway::Rollout) {
        self.shared.apply_decision(rollout);
    }
}

impl state::Shared {
    /// Stops the rollouts whose new version was found bad.
    pub(crate) fn stop_bad_rollouts(&self) {
        let now = self.now();
        let core = self.core();
        if core.rollouts.hash() == 0 {
            return;
        }
        let services: Vec<_> = core.rollouts.services().cloned().collect();
        let next = services.iter().filter_map(|service| core.evaluate_rollout(now, service));
        let stops = next.map(|(_, next)| next).filter(|n| n.stage == gateway::Stage::Stopped);
        let stops: Vec<_> = stops.collect();
        drop(core);
        for stop in &stops {
            self.apply_decision(stop);
        }
    }

    /// Applies a stage that this daemon decided, and tells all daemons.
    fn apply_decision(&self, rollout: &gateway::Rollout) {
        let now = self.now();
        let seen = self.core().pool(&rollout.service).map(|pool| measurements(pool, now, rollout));
        let changes = self.update(|core| {
            let changes = core.rollouts.learn(now, std::slice::from_ref(rollout));
            core.set_gates(now);
            changes
        });
        for rollout in &changes {
            self.log_rollout(rollout, true, seen);
        }
        self.broadcast_rollouts(&changes);
    }

    /// Applies rollouts and returns those that are new.
    fn apply_rollouts(&self, rollouts: &[gateway::Rollout]) -> Vec<gateway::Rollout> {
        let now = self.now();
        let changes = self.update(|core| {
            let changes = core.rollouts.learn(now, rollouts);
            if !changes.is_empty() {
                core.set_gates(now);
            }
            changes
        });
        for rollout in &changes {
            self.log_rollout(rollout, false, None);
        }
        changes
    }

    /// Handles the rollouts that another daemon knows of; replies with those known here if `asks` is set.
    pub(crate) fn handle_rollouts(
        &self,
        from: net::SocketAddr,
        rollouts: &[gateway::Rollout],
        asks: bool,
    ) {
        self.apply_rollouts(rollouts);
        if asks {
            self.send_rollouts(from, false);
        }
    }

    /// Sends the rollouts known here to a daemon whose hash of the known rollouts, `hash`, differs.
    pub(crate) fn sync_rollouts(&self, from: net::SocketAddr, hash: u64) {
        if self.core().rollouts.hash() != hash {
            self.send_rollouts(from, true);
        }
    }

    fn send_rollouts(&self, to: net::SocketAddr, asks: bool) {
        let rollouts = self.core().rollouts.list(self.now());
        self.send(&gateway::Message::Rollouts { rollouts, asks }, &[to]);
    }

    /// Sends rollouts to all daemons.
    fn broadcast_rollouts(&self, rollouts: &[gateway::Rollout]) {
        if rollouts.is_empty() {
            return;
        }
        let others = self.core().mesh.others();
        let rollouts = rollouts.to_vec();
        self.send(&gateway::Message::Rollouts { rollouts, asks: false }, &others);
    }

    fn log_rollout(
        &self,
        rollout: &gateway::Rollout,
        decided: bool,
        seen: Option<record::TrialStats>,
    ) {
        self.metrics.rollout(rollout.service.as_str(), rollout.stage);
        let rollout = rollout.clone();
        self.journal.write(&record::Event::Rollout { rollout, decided, seen });
    }
}

/// Returns the measurements on which a decision about a rollout is based.
fn measurements(
    pool: &gateway::Pool,
    now: trefoildyke_types::time::Timestamp,
    rollout: &gateway::Rollout,
) -> record::TrialStats {
    let ((placed, tried), [(usual, new), (usual_late, new_late)]) = pool.canary_request_counts();
    let evidence = match pool.rollout_status(now, &rollout.to).comparison {
        gateway::Comparison::Bad { evidence } => Some(evidence),
        _ => None,
    };
    record::TrialStats {
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
