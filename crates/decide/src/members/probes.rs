//! Indirect probes: helpers try to reach a member that this daemon cannot reach.

use std::collections;

use trefoildyke_types::id;

/// The combined result of the helpers' answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// Answers are still missing.
    Pending,
    /// A helper reached the member, or no helper answered; there is no evidence against the member.
    Cleared,
    /// Helpers answered and none of them reached the member.
    Unreached,
}

/// The helpers' answers for each member that is being probed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    pending: collections::BTreeMap<id::Incarnation, Answers>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    missing: usize,
    unreached: usize,
}

impl Probes {
    pub(crate) fn is_pending(&self, target: id::Incarnation) -> bool {
        self.pending.contains_key(&target)
    }

    pub(crate) fn start(&mut self, target: id::Incarnation, helpers: usize) {
        self.pending.insert(target, Answers { missing: helpers, unreached: 0 });
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Counts one helper's answer; `None` means that the helper did not answer.
    pub(crate) fn answer(&mut self, target: id::Incarnation, reached: Option<bool>) -> ProbeResult {
        let Some(answers) = self.pending.get_mut(&target) else { return ProbeResult::Cleared };
        answers.missing = answers.missing.saturating_sub(1);
        match reached {
            Some(true) => {
                self.pending.remove(&target);
                return ProbeResult::Cleared;
            }
            Some(false) => answers.unreached += 1,
            None => {}
        }
        let answers = *answers;
        if answers.missing > 0 {
            return ProbeResult::Pending;
        }
        self.pending.remove(&target);
        if answers.unreached > 0 { ProbeResult::Unreached } else { ProbeResult::Cleared }
    }
}
