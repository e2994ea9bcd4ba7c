//! The aggregation tree over the sorted members, in which reports go up to the root.

use std::collections;

use trefoildyke_types::id;

use crate::members;

/// A binary tree over one set of members, with the reports of this member's children.
///
/// A report counts only if it was made for the same set of members, so reports of members that see
/// different sets are never combined.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tree {
    /// The members that are not dead, sorted; the root comes first.
    order: Vec<id::Incarnation>,
    position: usize,
    /// The hash of the set in `order`.
    set: u64,
    /// The children's reports, with the hash of the set for which they were made.
    reports: collections::BTreeMap<id::Incarnation, (u64, members::Subtree)>,
}

impl Tree {
    /// Rebuilds the tree; reports of members that are no longer children are dropped.
    pub(crate) fn rebuild(&mut self, order: Vec<id::Incarnation>, own: id::Incarnation, set: u64) {
        self.position = order.binary_search(&own).unwrap_or(0);
        self.order = order;
        self.set = set;
        let children = self.children();
        self.reports.retain(|child, _| children.contains(child));
    }

    /// Returns whether the tree was built for the set with hash `set`.
    pub(crate) fn is_built_for(&self, set: u64) -> bool {
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

    /// Records a child's report for the set with hash `set`; reports of other members are ignored.
    pub(crate) fn record_report(
        &mut self,
        child: id::Incarnation,
        set: u64,
        subtree: members::Subtree,
    ) {
        if self.children().contains(&child) {
            self.reports.insert(child, (set, subtree));
        }
    }

    /// Returns the combined report of this member, with versions `own`, and of its children's valid
    /// reports.
    pub(crate) fn subtree(&self, own: members::Versions) -> members::Subtree {
        let mut total = members::Subtree { count: 1, versions: own };
        for (set, report) in self.reports.values() {
            if *set == self.set {
                total.count += report.count;
                total.versions = total.versions.min(report.versions);
            }
        }
        total
    }

    /// Returns the versions that every member has reached, if this is the root and all have
    /// reported.
    pub(crate) fn agreed(&self, own: members::Versions) -> Option<members::Versions> {
        let total = self.subtree(own);
        let is_complete = usize::try_from(total.count).is_ok_and(|count| count == self.order.len());
        (self.position == 0 && is_complete).then_some(total.versions)
    }
}
