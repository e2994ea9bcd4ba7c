//! The state of the model of commits.

use std::collections;

use trefoildyke_decide::intents;
use trefoildyke_types::id;

use crate::{
    commits::{
        Bounds, Owner,
        bounds::{KEEP_MS, LAG_MS},
        owner::CREATED_MS,
    },
    invariant::Invariant,
};

/// How old the identifiers are as time passes, in milliseconds.
pub(super) const AGES_MS: [u64; 4] =
    [0, KEEP_MS + LAG_MS / 2, KEEP_MS + LAG_MS + LAG_MS / 2, KEEP_MS + 3 * LAG_MS];

/// Holds a write that was given up on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Late {
    /// The part's index.
    pub index: u32,
    /// The revision that it compares.
    pub expected_revision: u64,
    /// The part.
    pub part: intents::Part,
}

/// Holds the state of everything.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// The slot's parts in the service.
    pub parts: collections::BTreeMap<u32, intents::Stored>,
    /// The last revision.
    pub revision: u64,
    /// Writes that were given up on.
    pub late: Vec<Late>,
    /// The daemons.
    pub owners: Vec<Owner>,
    /// How far time has gone.
    pub age: usize,
    /// The answers that may still be lost.
    pub losses: u8,
    /// Which records were reported as created: the request and the record's mark.
    pub created: collections::BTreeSet<(id::RequestKey, id::Nonce)>,
    /// Which records were reported as never to be written.
    pub denied: collections::BTreeSet<id::Nonce>,
}

impl World {
    /// Creates the state in which nothing has happened.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            parts: collections::BTreeMap::new(),
            revision: 0,
            late: vec![],
            owners: (0..2).map(|owner| Owner::new(bounds, owner)).collect(),
            age: 0,
            losses: bounds.losses,
            created: collections::BTreeSet::new(),
            denied: collections::BTreeSet::new(),
        }
    }

    /// Returns the invariant that the state breaks, if it breaks one.
    pub fn check(&self) -> Option<Invariant> {
        let mut keys = collections::BTreeSet::new();
        let twice = self.created.iter().any(|(key, _)| !keys.insert(key));
        let rows = self.parts.values().flat_map(|stored| &stored.part.rows);
        let came_back = rows.into_iter().any(|row| self.denied.contains(&row.record.nonce()));
        if twice {
            return Some(Invariant::AtMostOnceDispatch);
        }
        came_back.then_some(Invariant::TruthfulRefusal)
    }

    /// Returns the true wall clock, and the clocks of the daemons.
    pub(super) const fn now_ms(&self) -> u64 {
        CREATED_MS + AGES_MS[self.age]
    }

    pub(super) const fn clock_ms(&self, owner: usize) -> u64 {
        self.now_ms() - if owner == 1 { LAG_MS } else { 0 }
    }

    /// Ends a daemon's commit and takes note of what it reports.
    pub(super) fn finish(&mut self, bounds: &Bounds, number: usize) {
        let now_ms = self.clock_ms(number);
        let owner = &mut self.owners[number];
        let (rows, unknown) = (owner.rows.clone(), owner.unknown);
        for (row, outcome) in rows.into_iter().zip(owner.finish(bounds, now_ms)) {
            match outcome {
                intents::Outcome::Created => {
                    self.created.insert((row.key, row.record.nonce()));
                }
                intents::Outcome::Unavailable | intents::Outcome::Expired if !unknown => {
                    self.denied.insert(row.record.nonce());
                }
                _ => {}
            }
        }
    }
}
