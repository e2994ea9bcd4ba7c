//! Rollouts of new versions of a service's endpoints.
//!
//! Endpoints of several versions may serve side by side without an order, and all of them get
//! requests. The operators may also order that a service moves to a version, and endpoints of that version start
//! beside the old ones. The new version first gets a small share of the requests ([`Exposure`]). If
//! it answers as well as the old one ([`Judge`]), it gets all new requests, and the rollout is
//! complete when the old endpoints run nothing any more. If not, it gets no further requests.
//!
//! The daemon that places the requests of the service decides. It writes each stage to the store
//! before it acts on it, except for the stop, which takes effect at every daemon as soon as the
//! daemon learns of it.

mod exposure;
mod gate;
mod judge;
mod order;
mod stage;

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

pub use exposure::Exposure;
pub use gate::{Access, Canary, Gate, VersionSet};
pub use judge::{Answers, Comparison, Judge};
pub use order::Rollout;
pub use stage::Stage;

/// The fraction of the time for a rollout after which a good version gets all requests. The old
/// endpoints need the rest of the time to finish their requests.
const MOVE_FRACTION: f64 = 0.55;

/// The fraction of the time for a rollout after which a version that is not known to be good is
/// stopped.
const ABORT_FRACTION: f64 = 0.9;

/// The fraction of the permitted exposure that is used. The rest covers requests that were granted
/// a slot but never reached the endpoint.
const USED_FRACTION: f64 = 0.9;

/// The findings of the daemon that places a service's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// The result of comparing the canary version with the version in force.
    pub comparison: Comparison,
    /// Whether for a while no daemon has been known to have work at a version that gets no requests
    /// any more.
    pub old_is_idle: bool,
    /// Whether all listed endpoints are of the new version.
    pub only_new_listed: bool,
}

/// The rollouts of all services, and the version that an order to each service would replace.
///
/// Daemons that have learned of the same rollouts are in the same state: the later order wins, and
/// within an order the later stage. The two final stages never conflict, as each is written to the
/// store by compare-and-swap.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    rollouts: collections::BTreeMap<id::PoolName, TrackedRollout>,
    /// By service, the version that an order replaces.
    in_force: collections::BTreeMap<id::PoolName, InForce>,
    /// Whether the orders in the store were read.
    has_orders: bool,
}

/// The version of a service that an order replaces.
#[derive(Clone, Debug)]
struct InForce {
    version: id::VersionName,
    /// Another version that was listed when this version was guessed to be in force from the age of
    /// its endpoints alone.
    alternative: Option<id::VersionName>,
}

#[derive(Clone, Debug)]
struct TrackedRollout {
    rollout: Rollout,
    /// The time of the order, as far as known.
    ordered_at: Timestamp,
    /// The versions of earlier orders that were replaced before they were complete.
    abandoned: collections::BTreeSet<id::VersionName>,
}

impl Rollouts {
    /// Adds rollouts reported by other daemons or read from the store, and returns those that are
    /// new.
    pub fn learn(&mut self, now: Timestamp, rollouts: &[Rollout]) -> Vec<Rollout> {
        let mut changes = Vec::new();
        for rollout in rollouts {
            let age = time::Duration::from_millis(rollout.age_ms);
            let ordered_at =
                Timestamp::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
            match self.rollouts.get_mut(&rollout.service) {
                Some(known) if known.rollout.precedence() >= rollout.precedence() => {
                    if known.rollout.order == rollout.order {
                        known.ordered_at = known.ordered_at.min(ordered_at);
                    }
                }
                known => {
                    let known = known.map(|known| &*known);
                    let same = known.filter(|known| known.rollout.order == rollout.order);
                    let ordered_at =
                        same.map_or(ordered_at, |known| known.ordered_at.min(ordered_at));
                    let abandoned = known.map(|known| known.abandoned_by(rollout));
                    let tracked = TrackedRollout {
                        rollout: rollout.clone(),
                        ordered_at,
                        abandoned: abandoned.unwrap_or_default(),
                    };
                    self.rollouts.insert(rollout.service.clone(), tracked);
                    self.set_in_force(rollout);
                    self.correct_guess(rollout);
                    changes.push(rollout.clone());
                }
            }
        }
        changes
    }

    fn set_in_force(&mut self, rollout: &Rollout) {
        let version = match rollout.stage {
            Stage::Complete => Some(&rollout.to),
            _ => rollout.from.as_ref(),
        };
        if let Some(version) = version.cloned() {
            self.in_force.insert(rollout.service.clone(), InForce { version, alternative: None });
        }
    }

    /// Replaces the version in force if it was a guess, and an order names it as the new version.
    fn correct_guess(&mut self, rollout: &Rollout) {
        let in_force = self.in_force.get_mut(&rollout.service);
        let guess = in_force.filter(|guess| guess.version == rollout.to);
        if rollout.stage == Stage::Ordered
            && let Some(guess) = guess
            && let Some(alternative) = guess.alternative.take()
        {
            guess.version = alternative;
        }
    }

    /// Records that the orders in the store were read.
    ///
    /// Until then any listed version may be a canary, so that only the version in force gets requests.
    pub const fn note_orders_read(&mut self) {
        self.has_orders = true;
    }

    /// Guesses the version in force of services for which none is known, or whose version in force is no
    /// longer listed although no order is in progress. `entries` are all listed endpoints.
    ///
    /// The guess is the version of the endpoint that started first, unless that version is the
    /// ordered one and another version is listed.
    pub fn note_listed(&mut self, entries: &[&gateway::RosterEntry]) {
        let mut found: collections::BTreeMap<&id::PoolName, Vec<_>> = collections::BTreeMap::new();
        for entry in entries {
            let tracked = self.rollouts.get(&entry.service);
            let is_ordered = tracked.is_some_and(|tracked| tracked.rollout.to == entry.version);
            let age = (is_ordered, entry.start, &entry.version);
            found.entry(&entry.service).or_default().push(age);
        }
        for (service, mut ages) in found {
            let in_force = self.in_force.get(service).map(|in_force| &in_force.version);
            let is_listed = |version| ages.iter().any(|age| age.2 == version);
            let tracked = self.rollouts.get(service);
            let is_moving = tracked.is_some_and(|tracked| !tracked.rollout.stage.is_final());
            if in_force.is_some_and(|version| is_moving || is_listed(version)) {
                continue;
            }
            ages.sort();
            let version = ages[0].2.clone();
            let alternative =
                ages.iter().map(|age| age.2).find(|other| **other != version).cloned();
            self.in_force.insert(service.clone(), InForce { version, alternative });
        }
    }

    /// Returns the versions of a service that may run requests. The canary version may get a
    /// fraction `share` of the requests.
    ///
    /// If `is_fresh` is false, the daemon has heard nothing for a while, and there is no canary:
    /// other daemons may have found that the version is bad.
    pub fn gate(&self, service: &id::PoolName, share: f64, is_fresh: bool) -> Gate {
        let in_force = self.in_force.get(service).map(|in_force| &in_force.version);
        let Some(tracked) = self.rollouts.get(service) else {
            let only = in_force.filter(|_| !self.has_orders).cloned();
            return Gate { full: only.map(VersionSet::Only).unwrap_or_default(), canary: None };
        };
        let Rollout { order, from, to, stage, .. } = &tracked.rollout;
        let mut excluded = tracked.abandoned.clone();
        let mut canary = None;
        match stage {
            Stage::Moving => return Gate { full: VersionSet::Only(to.clone()), canary },
            // The old endpoints stop. Once the new ones are gone, too, the order applies no more.
            Stage::Complete if in_force == Some(to) => {
                excluded.extend(from.iter().filter(|from| *from != to).cloned());
            }
            Stage::Complete => {}
            Stage::Canary if is_fresh => {
                let share = share * USED_FRACTION;
                canary = Some(Canary { order: *order, version: to.clone(), share });
                excluded.insert(to.clone());
            }
            // All endpoints already had the ordered version.
            Stage::Ordered if in_force == Some(to) => {}
            _ => {
                excluded.insert(to.clone());
            }
        }
        Gate { full: VersionSet::AllBut(excluded), canary }
    }

    /// Returns the services that have a rollout, including completed ones.
    pub fn services(&self) -> impl Iterator<Item = &id::PoolName> {
        self.rollouts.keys()
    }

    /// Returns the rollout of a service.
    pub fn get(&self, now: Timestamp, service: &id::PoolName) -> Option<Rollout> {
        self.rollouts.get(service).map(|tracked| tracked.message(now))
    }

    /// Returns all rollouts, to be sent to another daemon.
    pub fn list(&self, now: Timestamp) -> Vec<Rollout> {
        self.rollouts.values().map(|tracked| tracked.message(now)).collect()
    }

    /// Returns a hash of the known rollouts, the same for daemons that know the same rollouts; 0 if
    /// no rollout is known.
    pub fn hash(&self) -> u64 {
        if self.rollouts.is_empty() {
            return 0;
        }
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for tracked in self.rollouts.values() {
            let Rollout { service, order, stage, .. } = &tracked.rollout;
            hasher.update(service.as_str().as_bytes());
            hasher.update(&order.to_le_bytes());
            hasher.update(&[*stage as u8]);
        }
        hasher.digest()
    }

    /// Returns the rollout with the stage that follows from a finding.
    ///
    /// [`Stage::Stopped`] takes effect at once, every other stage once it is written to the store.
    pub fn next(
        &self,
        now: Timestamp,
        service: &id::PoolName,
        finding: Finding,
    ) -> Option<Rollout> {
        let tracked = self.rollouts.get(service)?;
        let rollout = tracked.message(now);
        let in_force = &self.in_force.get(service)?.version;
        let is_bad = matches!(finding.comparison, Comparison::Bad { .. });
        let elapsed = rollout.age_ms as f64 / rollout.within_ms.max(1) as f64;
        let stage = match rollout.stage {
            // All endpoints already have the ordered version.
            Stage::Ordered if finding.only_new_listed => Stage::Complete,
            Stage::Ordered if *in_force == rollout.to => return None,
            Stage::Ordered => Stage::Canary,
            Stage::Canary | Stage::Moving if is_bad => Stage::Stopped,
            Stage::Canary if elapsed >= MOVE_FRACTION && finding.comparison == Comparison::Good => {
                Stage::Moving
            }
            Stage::Canary if elapsed >= ABORT_FRACTION => Stage::Stopped,
            Stage::Moving if finding.old_is_idle => Stage::Complete,
            Stage::Stopped => Stage::Reverted,
            _ => return None,
        };
        Some(Rollout { from: Some(in_force.clone()), stage, ..rollout })
    }
}

impl TrackedRollout {
    /// Returns the versions that are abandoned once `next` replaces this rollout.
    fn abandoned_by(&self, next: &Rollout) -> collections::BTreeSet<id::VersionName> {
        let mut abandoned = self.abandoned.clone();
        if next.order != self.rollout.order && self.rollout.stage != Stage::Complete {
            abandoned.insert(self.rollout.to.clone());
        }
        abandoned.remove(&next.to);
        abandoned
    }

    fn message(&self, now: Timestamp) -> Rollout {
        let age_ms = now.since(self.ordered_at).as_millis() as u64;
        Rollout { age_ms, ..self.rollout.clone() }
    }
}

impl Rollout {
    /// Returns the precedence of a rollout: of two different rollouts of a service, the one with
    /// the higher precedence applies.
    const fn precedence(&self) -> (u64, Stage) {
        (self.order, self.stage)
    }
}
