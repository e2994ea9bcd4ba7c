//! Guards that a group can go without, to show what they are for.

use trefoildyke_decide::members;

/// Says which guards are broken by changing what passes between the members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Broken {
    /// Reports count whatever set of members they were made for.
    pub set_check: bool,
    /// A report counts as one from every member.
    pub count_check: bool,
    /// Helpers say that they do not reach a member, without trying.
    pub helpers: bool,
}

impl Broken {
    /// Changes a digest on its way to a member whose set has the hash `set` and `count` members.
    pub(crate) fn change(&self, digest: &mut members::Digest, set: u64, count: usize) {
        if self.set_check {
            digest.members = set;
        }
        if self.count_check {
            digest.subtree.count = u32::try_from(count).unwrap_or(u32::MAX).saturating_sub(1);
        }
    }
}
