//! Moving services to new versions of their endpoints.
//!
//! The operators order that a service moves to a version; endpoints of that version start beside the old ones. The new
//! version first gets a small part of the requests ([`Exposure`]). If it answers as well as the old one ([`Judge`]), it gets
//! all new ones, and the roll-out is complete when the old endpoints run nothing any more. If not, it gets nothing more.
//!
//! The daemon that places the requests of the service decides, and writes each step down before it acts by it, but
//! for the stop: that every daemon believes at once.

mod exposure;
mod gate;
mod judge;
mod order;
mod stage;

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

pub use exposure::Exposure;
pub use gate::{Access, Canary, Gate};
pub use judge::{Answers, Comparison, Judge};
pub use order::Rollout;
pub use stage::Stage;

/// The part of the time for a roll-out after which a good version gets all requests; the old endpoints need the rest to end
/// what they run.
const MOVE_AT: f64 = 0.55;

/// The part of it after which a version that is not known to be good is given up.
const GIVE_UP_AT: f64 = 0.9;

/// The part of the permitted exposure that is used; the rest covers requests that were given a place and never arrived.
const USED_PART: f64 = 0.9;

/// Says what the daemon that places a service's requests has found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// What is found of the version that is tried.
    pub comparison: Comparison,
    /// Whether no daemon has been known for a while to have work at a version that gets nothing any more.
    pub is_idle: bool,
    /// Whether endpoints of the new version alone are listed.
    pub is_alone: bool,
}

/// Knows the roll-outs of all services, and which version of each is in force.
///
/// Daemons that have learned the same hold the same: the later order wins, and within an order the later stage. The two
/// final stages never meet, as each is written down by compare-and-swap.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    courses: collections::BTreeMap<id::PoolName, Course>,
    /// By service, the version that requests go to if nothing is ordered.
    in_force: collections::BTreeMap<id::PoolName, InForce>,
}

/// The version of a service that requests go to if nothing is ordered.
#[derive(Clone, Debug)]
struct InForce {
    version: id::VersionName,
    /// Another version that was listed when this one was taken for the one in force, for no better reason than the age of
    /// its endpoints.
    other: Option<id::VersionName>,
}

#[derive(Clone, Debug)]
struct Course {
    rollout: Rollout,
    /// When it was ordered, as far as is known.
    ordered: Timestamp,
}

impl Rollouts {
    /// Takes in what others know, or what lies in the store; returns what is new.
    pub fn learn(&mut self, now: Timestamp, rollouts: &[Rollout]) -> Vec<Rollout> {
        let mut changes = Vec::new();
        for rollout in rollouts {
            let age = time::Duration::from_millis(rollout.age_ms);
            let ordered =
                Timestamp::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
            match self.courses.get_mut(&rollout.service) {
                Some(known) if known.rollout.rank() >= rollout.rank() => {
                    if known.rollout.order == rollout.order {
                        known.ordered = known.ordered.min(ordered);
                    }
                }
                known => {
                    let same = known.filter(|known| known.rollout.order == rollout.order);
                    let ordered = same.map_or(ordered, |known| known.ordered.min(ordered));
                    self.courses.insert(
                        rollout.service.clone(),
                        Course { rollout: rollout.clone(), ordered },
                    );
                    self.note_in_force(rollout);
                    self.correct(rollout);
                    changes.push(rollout.clone());
                }
            }
        }
        changes
    }

    fn note_in_force(&mut self, rollout: &Rollout) {
        let version = match rollout.stage {
            Stage::Complete => Some(&rollout.to),
            _ => rollout.from.as_ref(),
        };
        if let Some(version) = version.cloned() {
            self.in_force.insert(rollout.service.clone(), InForce { version, other: None });
        }
    }

    /// Takes another version for the one in force if that was a guess, and an order names it as the new one.
    fn correct(&mut self, rollout: &Rollout) {
        let in_force = self.in_force.get_mut(&rollout.service);
        let guess = in_force.filter(|guess| guess.version == rollout.to);
        if rollout.stage == Stage::Ordered
            && let Some(guess) = guess
            && let Some(other) = guess.other.take()
        {
            guess.version = other;
        }
    }

    /// Takes in endpoints that are listed. Of a service of which nothing is known, the version is in force of which an
    /// endpoint started first, unless that is the one that is ordered and there is another.
    pub fn note_listed(&mut self, entries: &[&gateway::RosterEntry]) {
        let mut found: collections::BTreeMap<&id::PoolName, Vec<_>> = collections::BTreeMap::new();
        for entry in entries.iter().filter(|entry| !self.in_force.contains_key(&entry.service)) {
            let course = self.courses.get(&entry.service);
            let is_ordered = course.is_some_and(|course| course.rollout.to == entry.version);
            let age = (is_ordered, entry.start, &entry.version);
            found.entry(&entry.service).or_default().push(age);
        }
        for (service, mut ages) in found {
            ages.sort();
            let version = ages[0].2.clone();
            let other = ages.iter().map(|age| age.2).find(|other| **other != version).cloned();
            self.in_force.insert(service.clone(), InForce { version, other });
        }
    }

    /// Returns which versions of a service may run requests, where `share` of the requests may be bad.
    ///
    /// Who has heard nothing for a while, as `is_fresh` says, tries nothing: others may have found that the version is bad.
    pub fn gate(&self, service: &id::PoolName, share: f64, is_fresh: bool) -> Gate {
        let in_force = self.in_force.get(service).map(|in_force| in_force.version.clone());
        let Some(course) = self.courses.get(service) else {
            return Gate { full: in_force, canary: None };
        };
        let Rollout { order, to, stage, .. } = &course.rollout;
        match stage {
            Stage::Moving | Stage::Complete => Gate { full: Some(to.clone()), canary: None },
            Stage::Canary if is_fresh => Gate {
                full: in_force,
                canary: Some(Canary {
                    order: *order,
                    version: to.clone(),
                    share: share * USED_PART,
                }),
            },
            _ => Gate { full: in_force, canary: None },
        }
    }

    /// Returns the services that move, or have moved.
    pub fn services(&self) -> impl Iterator<Item = &id::PoolName> {
        self.courses.keys()
    }

    /// Returns the roll-out of a service.
    pub fn get(&self, now: Timestamp, service: &id::PoolName) -> Option<Rollout> {
        self.courses.get(service).map(|course| course.told(now))
    }

    /// Returns all roll-outs, for another daemon.
    pub fn list(&self, now: Timestamp) -> Vec<Rollout> {
        self.courses.values().map(|course| course.told(now)).collect()
    }

    /// Returns a number that is the same for daemons that know the same; 0 if no roll-out is known.
    pub fn mark(&self) -> u64 {
        if self.courses.is_empty() {
            return 0;
        }
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        for course in self.courses.values() {
            let Rollout { service, order, stage, .. } = &course.rollout;
            hasher.update(service.as_str().as_bytes());
            hasher.update(&order.to_le_bytes());
            hasher.update(&[*stage as u8]);
        }
        hasher.digest()
    }

    /// Returns what follows from a finding: the stop, which holds at once, or the next stage, which holds once it is
    /// written down.
    pub fn next(
        &self,
        now: Timestamp,
        service: &id::PoolName,
        finding: Finding,
    ) -> Option<Rollout> {
        let course = self.courses.get(service)?;
        let rollout = course.told(now);
        let in_force = &self.in_force.get(service)?.version;
        let is_bad = matches!(finding.comparison, Comparison::Bad { .. });
        let passed = rollout.age_ms as f64 / rollout.within_ms.max(1) as f64;
        let stage = match rollout.stage {
            // There is nothing to move.
            Stage::Ordered if finding.is_alone => Stage::Complete,
            Stage::Ordered if *in_force == rollout.to => return None,
            Stage::Ordered => Stage::Canary,
            Stage::Canary | Stage::Moving if is_bad => Stage::Stopped,
            Stage::Canary if passed >= MOVE_AT && finding.comparison == Comparison::Good => {
                Stage::Moving
            }
            Stage::Canary if passed >= GIVE_UP_AT => Stage::Stopped,
            Stage::Moving if finding.is_idle => Stage::Complete,
            Stage::Stopped => Stage::Reverted,
            _ => return None,
        };
        Some(Rollout { from: Some(in_force.clone()), stage, ..rollout })
    }
}

impl Course {
    fn told(&self, now: Timestamp) -> Rollout {
        let age_ms = now.since(self.ordered).as_millis() as u64;
        Rollout { age_ms, ..self.rollout.clone() }
    }
}

impl Rollout {
    /// Of two that differ, the one with the higher rank holds.
    const fn rank(&self) -> (u64, Stage) {
        (self.order, self.stage)
    }
}
