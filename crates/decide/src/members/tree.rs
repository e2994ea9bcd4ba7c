//! The tree over the sorted members by which reports go up.

use std::collections;

use trefoildyke_types::id;

use crate::members;

/// Places the members of one set in a binary tree and keeps what those below have reported.
///
/// A report counts only if it was made for the same set of members, so members that see different
/// sets never add up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tree {
    /// The members that are not dead, sorted; the root comes first.
    order: Vec<id::Incarnation>,
    position: usize,
    /// The hash of the set that `order` holds.
    set: u64,
    /// What children reported, with the hash of the set that they reported for.
    reports: collections::BTreeMap<id::Incarnation, (u64, members::Subtree)>,
}

impl Tree {
    /// Places the members anew; reports from members that are children no longer are dropped.
    pub(crate) fn rebuild(&mut self, order: Vec<id::Incarnation>, own: id::Incarnation, set: u64) {
        self.position = order.binary_search(&own).unwrap_or(0);
        self.order = order;
        self.set = set;
        let children = self.children();
        self.reports.retain(|child, _| children.contains(child));
    }

    /// Returns whether the tree was built for the set with hash `set`.
    pub(crate) fn is_for(&self, set: u64) -> bool {
        !self.order.is_empty() && self.set == set
    }

    pub(crate) fn parent(&self) -> Option<id::Incarnation> {
        let above = self.position.checked_sub(1)?;
        self.order.get(above / 2).copied()
    }

    pub(crate) fn children(&self) -> Vec<id::Incarnation> {
        let first = 2 * self.position + 1;
        self.order.iter().skip(first).take(2).copied().collect()
    }

    /// Notes what a child reported for the set with hash `set`.
    pub(crate) fn report(&mut self, child: id::Incarnation, set: u64, subtree: members::Subtree) {
        if self.children().contains(&child) {
            self.reports.insert(child, (set, subtree));
        }
    }

    /// Returns the sum of this member, at `own`, and of the valid reports below it.
    pub(crate) fn subtree(&self, own: members::Versions) -> members::Subtree {
        let mut sum = members::Subtree { count: 1, versions: own };
        for (set, below) in self.reports.values() {
            if *set == self.set {
                sum.count += below.count;
                sum.versions = sum.versions.lowest(below.versions);
            }
        }
        sum
    }

    /// Returns how far every member has come, if this is the root and all have reported.
    pub(crate) fn agreed(&self, own: members::Versions) -> Option<members::Versions> {
        let sum = self.subtree(own);
        let all = usize::try_from(sum.count).is_ok_and(|count| count == self.order.len());
        (self.position == 0 && all).then_some(sum.versions)
    }
}
