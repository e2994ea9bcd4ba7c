//! The state of the model of configuration versions.

use std::{hash, sync};

use trefoildyke_decide::config::{self, storage};

use crate::{
    configuration::{Attempt, Bounds, Phase, Verdict},
    invariant::Invariant,
};

/// Holds a snapshot with the operators whose changes made its versions, in order.
///
/// Two snapshots with the same changes are the same; they are compared by their changes alone.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// The snapshot.
    pub snapshot: sync::Arc<config::Snapshot>,
    /// One operator for each version.
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

/// Holds what the service stores, and what a read returns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The root.
    pub root: sync::Arc<storage::Root>,
    /// Its revision; 0 if there is none.
    pub revision: u64,
    /// What the root and its chunks hold.
    pub held: Held,
}

impl hash::Hash for Stored {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.revision.hash(state);
        self.held.hash(state);
    }
}

/// Holds the state of everything.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// What the service stores.
    pub stored: Stored,
    /// Writes that were given up on, each with the revision that it compares.
    pub late: Vec<Stored>,
    /// What is in force on each daemon.
    pub daemons: Vec<Held>,
    /// The root that was read for each daemon and that it has not yet got.
    pub fetched: Vec<Option<Stored>>,
    /// The answer of a peer that each daemon has not yet got.
    pub told: Vec<Option<Held>>,
    /// Each operator's change, once it is sent.
    pub attempts: Vec<Option<Attempt>>,
    /// Whether a daemon has gone back to an older version or to another history.
    pub reverted: bool,
    /// The restarts that may still happen.
    pub restarts: u8,
    /// The answers that may still be lost.
    pub losses: u8,
    /// Whether the service may still forget.
    pub forgets: bool,
}

impl World {
    /// Creates the state in which nothing has happened.
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

    /// Returns the invariant that the state breaks, if it breaks one.
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

    /// Returns each operator who was told that nothing changed.
    fn denied(&self) -> impl Iterator<Item = usize> {
        let told = |attempt: &Attempt| {
            matches!(attempt.phase, Phase::Told(Verdict::Conflict | Verdict::Refused))
        };
        let attempts = self.attempts.iter().enumerate();
        attempts.filter(move |(_, attempt)| attempt.as_ref().is_some_and(told)).map(|one| one.0)
    }

    /// Returns each accepted change with the version that it made.
    fn accepted(&self) -> impl Iterator<Item = (usize, usize)> {
        let verdict = |(operator, attempt): (usize, &Option<Attempt>)| {
            attempt.as_ref()?.accepted().map(|version| (operator, version))
        };
        self.attempts.iter().enumerate().filter_map(verdict)
    }
}
