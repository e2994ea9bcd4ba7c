//! The state of the model of configuration versions.

use std::{hash, sync};

use trefoildyke_decide::config::{self, storage};

use crate::{
    configuration::{Attempt, Bounds, Phase, Verdict},
    invariant::Invariant,
};

/// A snapshot with the operators whose changes created its versions, in order.
///
/// Two snapshots with the same changes are identical, so equality and hash use the changes alone.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// The snapshot.
    pub snapshot: sync::Arc<config::Snapshot>,
    /// The operator whose change created each version.
    pub changes: Vec<usize>,
}

impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        self.changes == other.changes
    }
}

impl Eq for Held {}

impl hash::Hash for Held {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.changes.hash(state);
    }
}

/// The configuration as the service stores it and as a read returns it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The root.
    pub root: sync::Arc<storage::Root>,
    /// Its revision; 0 if there is none.
    pub revision: u64,
    /// The snapshot in the root and its chunks.
    pub held: Held,
}

impl hash::Hash for Stored {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.revision.hash(state);
        self.held.hash(state);
    }
}

/// The complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// What the service stores.
    pub stored: Stored,
    /// Writes that their daemons gave up on, each with the revision that it expects.
    pub late: Vec<Stored>,
    /// The snapshot in force on each daemon.
    pub daemons: Vec<Held>,
    /// The root that the service has read for each daemon but that the daemon has not yet received.
    pub fetched: Vec<Option<Stored>>,
    /// The answer of a peer that each daemon has not yet received.
    pub told: Vec<Option<Held>>,
    /// Each operator's change, once it is sent.
    pub attempts: Vec<Option<Attempt>>,
    /// Whether a daemon has gone back to an older version or to another history.
    pub reverted: bool,
    /// The restarts that may still happen.
    pub restarts: u8,
    /// The answers that may still be lost.
    pub losses: u8,
    /// Whether the service may still lose the configuration.
    pub forgets: bool,
}

impl World {
    /// Creates the initial state.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            stored: Stored::default(),
            late: vec![],
            daemons: vec![Held::default(); bounds.daemons],
            fetched: vec![None; bounds.daemons],
            told: vec![None; bounds.daemons],
            attempts: vec![None; bounds.operators],
            reverted: false,
            restarts: bounds.restarts,
            losses: bounds.losses,
            forgets: bounds.forgets,
        }
    }

    /// Returns the invariant that the state violates, if any.
    pub fn check(&self) -> Option<Invariant> {
        let forked = self.accepted().any(|(operator, version)| {
            let lacks = |held: &Held| held.changes.get(version - 1).is_some_and(|o| *o != operator);
            self.daemons.iter().any(lacks) || lacks(&self.stored.held)
        });
        let twice = self.daemons.iter().any(|held| {
            let mut changes = held.changes.clone();
            changes.sort_unstable();
            changes.windows(2).any(|pair| pair[0] == pair[1])
        });
        let denied = self.denied().any(|operator| {
            let holds = |held: &Held| held.changes.contains(&operator);
            holds(&self.stored.held) || self.daemons.iter().any(holds)
        });
        (forked || twice || denied || self.reverted).then_some(Invariant::ConfigMonotone)
    }

    /// Returns each operator that was told that its change was not made.
    fn denied(&self) -> impl Iterator<Item = usize> {
        let told = |attempt: &Attempt| {
            matches!(attempt.phase, Phase::Told(Verdict::Conflict | Verdict::Refused))
        };
        let attempts = self.attempts.iter().enumerate();
        attempts.filter(move |(_, attempt)| attempt.as_ref().is_some_and(told)).map(|one| one.0)
    }

    /// Returns the operator of each accepted change with the version that the change created.
    fn accepted(&self) -> impl Iterator<Item = (usize, usize)> {
        let verdict = |(operator, attempt): (usize, &Option<Attempt>)| {
            attempt.as_ref()?.accepted().map(|version| (operator, version))
        };
        self.attempts.iter().enumerate().filter_map(verdict)
    }
}
