//! One operator's change in progress, as the daemon's writer handles it.

use std::sync;

use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::{id, resource};

use crate::configuration::{Guards, Held, Stored};

/// The result that the operator was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The change was accepted and created this version.
    Accepted(usize),
    /// Another change was made first, and this one changed nothing.
    Conflict,
    /// The change was refused and changed nothing.
    Refused,
    /// The change may have been made or may still be made.
    Unsure,
}

/// The phase of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The root has to be read.
    Start,
    /// The root was read.
    Read(Stored),
    /// A write is in flight; it takes effect only on the revision that it holds.
    Writing(Stored),
    /// The service's answer to the write is in flight: whether the write took effect.
    Written(Stored, bool),
    /// The operator was told the result.
    Told(Verdict),
}

/// One operator's change at one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// The daemon that handles the change.
    pub daemon: usize,
    /// The version of the resource that the operator intends to replace.
    pub replaces: u64,
    /// The version on which the last write of the change was based; `None` if no such write can take effect.
    pub sent: Option<u64>,
    /// The phase of the change.
    pub phase: Phase,
}

impl Attempt {
    /// Creates the change of an operator that has seen the daemon's snapshot.
    pub fn new(daemon: usize, held: &Held) -> Self {
        let seen = held.snapshot.resource(resource::Kind::Tier, TIER);
        let replaces = seen.map_or(0, |seen| seen.resource_version);
        Self { daemon, replaces, sent: None, phase: Phase::Start }
    }

    /// Returns the version that the change created, if the operator was told that it was accepted.
    pub const fn accepted(&self) -> Option<usize> {
        match self.phase {
            Phase::Told(Verdict::Accepted(version)) => Some(version),
            _ => None,
        }
    }

    /// Continues the change from the root that was read.
    pub(super) fn act(&mut self, guards: Guards, operator: usize, read: &Stored, have: &Held) {
        if let Some(base) = self.sent.filter(|_| guards.nonce) {
            match read.root.outcome(base, nonce(operator)) {
                storage::Outcome::Applied => {
                    let version = usize::try_from(base).unwrap_or(usize::MAX) + 1;
                    self.phase = Phase::Told(Verdict::Accepted(version));
                    return;
                }
                storage::Outcome::Superseded => self.sent = None,
                storage::Outcome::Pending => {}
                storage::Outcome::Unknown => {
                    self.phase = Phase::Told(Verdict::Unsure);
                    return;
                }
            }
        }
        self.phase = match write_back(read, have) {
            Some(restored) => Phase::Writing(restored),
            None => self.plan(operator, read),
        };
    }

    fn plan(&mut self, operator: usize, read: &Stored) -> Phase {
        let set = change(operator, self.replaces);
        let snapshot = &read.held.snapshot;
        let Ok(plan) = storage::plan(&read.root, snapshot, &set, nonce(operator)) else {
            return Phase::Told(Verdict::Conflict);
        };
        self.sent = Some(read.root.version);
        let mut changes = read.held.changes.clone();
        changes.push(operator);
        let held = Held { snapshot: plan.snapshot, changes };
        Phase::Writing(Stored { root: sync::Arc::new(plan.root), revision: read.revision, held })
    }
}

/// The name of the resource that all operators change.
const TIER: &str = "t";

/// Returns the nonce of an operator's change.
pub(super) const fn nonce(operator: usize) -> id::Nonce {
    id::Nonce(operator as u64 + 1)
}

/// Returns the write that restores a daemon's snapshot, if the service holds an older version.
pub(super) fn write_back(read: &Stored, have: &Held) -> Option<Stored> {
    if read.root.version >= have.snapshot.version() {
        return None;
    }
    let mark = id::Nonce(u64::MAX);
    let plan = storage::restore(&read.root, &have.snapshot, mark).ok()?;
    let root = sync::Arc::new(plan.root);
    Some(Stored { root, revision: read.revision, held: have.clone() })
}

fn change(operator: usize, replaces: u64) -> config::ChangeSet {
    let deadline_ms = operator as u64 + 1;
    config::ChangeSet::put(resource::Resource {
        name: TIER.to_owned(),
        spec: resource::Spec::Tier(resource::TierSpec { rank: 0, deadline_ms }),
        generation: 0,
        resource_version: replaces,
        status: None,
    })
}
