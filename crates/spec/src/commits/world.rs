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

/// The ages that the request ids go through, in milliseconds.
pub(super) const AGES_MS: [u64; 4] =
    [0, KEEP_MS + LAG_MS / 2, KEEP_MS + LAG_MS + LAG_MS / 2, KEEP_MS + 3 * LAG_MS];

/// A write that a daemon gave up on and that may still take effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Late {
    /// The index of the part.
    pub index: u32,
    /// The revision that the write expects.
    pub expected_revision: u64,
    /// The part to write.
    pub part: intents::Part,
}

/// The complete state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// The parts of the slot that the service stores, by index.
    pub parts: collections::BTreeMap<u32, intents::Stored>,
    /// The revision assigned last.
    pub revision: u64,
    /// The writes that daemons gave up on and that may still take effect.
    pub late: Vec<Late>,
    /// The daemons.
    pub owners: Vec<Owner>,
    /// The current index into `AGES_MS`.
    pub age: usize,
    /// The answers that may still be lost.
    pub losses: u8,
    /// The records that were reported as created: the request key and the record's nonce.
    pub created: collections::BTreeSet<(id::RequestKey, id::Nonce)>,
    /// The nonces of the records that were reported as never to be written.
    pub denied: collections::BTreeSet<id::Nonce>,
}

impl World {
    /// Creates the initial state.
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

    /// Returns the invariant that the state violates, if any.
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

    /// Returns the exact time, in milliseconds since the Unix epoch.
    pub(super) const fn now_ms(&self) -> u64 {
        CREATED_MS + AGES_MS[self.age]
    }

    /// Returns the time by a daemon's clock, in milliseconds since the Unix epoch.
    pub(super) const fn clock_ms(&self, owner: usize) -> u64 {
        self.now_ms() - if owner == 1 { LAG_MS } else { 0 }
    }

    /// Ends a daemon's commit and notes the outcomes that it reports.
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
