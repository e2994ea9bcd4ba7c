//! The table entry of one member.

use trefoildyke_types::{id, time};
use xxhash_rust::xxh3;

use crate::members;

/// A daemon's knowledge about one member.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) location: members::Location,
    pub(crate) sequence: u32,
    pub(crate) state: members::State,
    /// When this daemon accepted the current state.
    pub(crate) since: time::Timestamp,
    /// When the last message from the member itself arrived, if any.
    pub(crate) last_heard: Option<time::Timestamp>,
    /// When this daemon last failed to reach the member or retried it, if it cannot reach it; other
    /// daemons are not told.
    pub(crate) unreachable: Option<time::Timestamp>,
    /// The member's table hash, as it last reported it.
    pub(crate) table_hash: Option<u64>,
}

impl Entry {
    pub(crate) fn new(
        location: members::Location,
        sequence: u32,
        state: members::State,
        now: time::Timestamp,
    ) -> Self {
        Self {
            location,
            sequence,
            state,
            since: now,
            last_heard: None,
            unreachable: None,
            table_hash: None,
        }
    }

    /// Returns the state that this daemon should act on.
    pub(crate) fn effective_state(&self) -> members::State {
        match self.state {
            members::State::Alive if self.unreachable.is_some() => members::State::Suspect,
            state => state,
        }
    }

    pub(crate) const fn precedence(&self) -> (u32, members::State) {
        (self.sequence, self.state)
    }

    pub(crate) fn update(
        &self,
        incarnation: id::Incarnation,
        with_location: bool,
    ) -> members::Update {
        members::Update {
            incarnation,
            sequence: self.sequence,
            state: self.state,
            place: with_location.then(|| self.location.clone()),
        }
    }

    /// Returns the entry's contribution to the table hash; 0 if the member is dead.
    pub(crate) fn hash(&self, incarnation: id::Incarnation) -> u64 {
        if !self.state.is_member() {
            return 0;
        }
        let mut bytes = [0; 13];
        bytes[..8].copy_from_slice(&incarnation.as_u64().to_le_bytes());
        bytes[8..12].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[12] = self.state as u8;
        xxh3::xxh3_64(&bytes)
    }

    /// Returns the member's contribution to the hash of the member set; 0 if the member is dead.
    pub(crate) fn member_hash(&self, incarnation: id::Incarnation) -> u64 {
        if self.state.is_member() { xxh3::xxh3_64(&incarnation.as_u64().to_le_bytes()) } else { 0 }
    }
}
