//! One daemon's view of all daemons.

use std::{cmp, collections};

use trefoildyke_types::id;
use xxhash_rust::xxh3;

use crate::members;

/// The members that one daemon knows.
///
/// The views of two daemons may differ for a while, so no guarantee depends on a view: it only
/// decides who takes a soft role.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The members in the order of their incarnations, including dead ones until they are removed.
    pub members: Vec<members::Member>,
    /// Increases with every change that this daemon sees; it has no meaning for other daemons.
    pub version: u64,
    /// A hash over the incarnations of all members that are not dead; equal for equal sets.
    pub hash: u64,
}

impl View {
    /// Returns the member with `incarnation`.
    pub fn find(&self, incarnation: id::Incarnation) -> Option<&members::Member> {
        let index = self.members.binary_search_by_key(&incarnation, |member| member.incarnation);
        index.ok().map(|index| &self.members[index])
    }

    /// Returns the members that may take soft roles.
    pub fn alive(&self) -> impl Iterator<Item = &members::Member> {
        self.members.iter().filter(|member| member.state == members::State::Alive)
    }

    /// Returns the member that takes the soft role for `key`, or `None` if no member is alive.
    ///
    /// Uses rendezvous hashing: when a member leaves, only its own keys move. Costs one short hash
    /// for each member.
    pub fn owner(&self, key: u64) -> Option<&members::Member> {
        self.alive().max_by_key(|member| score(member, key))
    }

    /// Returns at most `count` members for `key`, the owner first, in as many zones as possible.
    pub fn owners(&self, key: u64, count: usize) -> Vec<&members::Member> {
        let mut ranked: Vec<_> = self.alive().collect();
        ranked.sort_by_key(|member| cmp::Reverse(score(member, key)));
        // The n-th member of a zone comes after the (n-1)-th of every other zone.
        let mut zone_counts = collections::HashMap::new();
        let mut rounds: Vec<_> = ranked
            .into_iter()
            .map(|member| {
                let round: &mut usize = zone_counts.entry(&member.zone).or_default();
                *round += 1;
                (*round, member)
            })
            .collect();
        rounds.sort_by_key(|(round, _)| *round);
        rounds.into_iter().take(count).map(|(_, member)| member).collect()
    }
}

fn score(member: &members::Member, key: u64) -> (u64, id::Incarnation) {
    let hash = xxh3::xxh3_64_with_seed(&member.incarnation.as_u64().to_le_bytes(), key);
    (hash, member.incarnation)
}
