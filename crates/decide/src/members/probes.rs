//! Members that others are being asked to reach.

use std::collections;

use trefoildyke_types::id;

/// Says what the helpers' answers amount to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Answers are still out.
    Open,
    /// A helper reached the member, or no helper answered: nothing is known against it.
    Cleared,
    /// Helpers answered and none reached it.
    Unreached,
}

/// Counts the answers of helpers for each member that was not reached.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    open: collections::BTreeMap<id::Incarnation, Count>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    waiting: usize,
    unreached: usize,
}

impl Probes {
    pub(crate) fn is_open(&self, target: id::Incarnation) -> bool {
        self.open.contains_key(&target)
    }

    pub(crate) fn start(&mut self, target: id::Incarnation, helpers: usize) {
        self.open.insert(target, Count { waiting: helpers, unreached: 0 });
    }

    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }

    /// Counts one helper's answer; `None` means that the helper did not answer.
    pub(crate) fn answer(&mut self, target: id::Incarnation, reached: Option<bool>) -> Verdict {
        let Some(count) = self.open.get_mut(&target) else { return Verdict::Cleared };
        count.waiting = count.waiting.saturating_sub(1);
        match reached {
            Some(true) => {
                self.open.remove(&target);
                return Verdict::Cleared;
            }
            Some(false) => count.unreached += 1,
            None => {}
        }
        let count = *count;
        if count.waiting > 0 {
            return Verdict::Open;
        }
        self.open.remove(&target);
        if count.unreached > 0 { Verdict::Unreached } else { Verdict::Cleared }
    }
}
