//! News that is still being told.

use std::collections;

use trefoildyke_types::id;

/// Counts how often the news about each member has been told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rumors {
    sent: collections::BTreeMap<id::Incarnation, usize>,
}

impl Rumors {
    /// Starts to tell the news about a member, anew if older news was being told.
    pub(crate) fn add(&mut self, incarnation: id::Incarnation) {
        self.sent.insert(incarnation, 0);
    }

    /// Returns the `count` members whose news was told least often, and counts it as told.
    ///
    /// News that has been told `resend` times is dropped.
    pub(crate) fn take(&mut self, count: usize, resend: usize) -> Vec<id::Incarnation> {
        let mut waiting: Vec<_> = self.sent.iter().map(|(number, sent)| (*sent, *number)).collect();
        waiting.sort_unstable();
        waiting.truncate(count);
        for (sent, incarnation) in &waiting {
            if sent + 1 >= resend {
                self.sent.remove(incarnation);
            } else {
                self.sent.insert(*incarnation, sent + 1);
            }
        }
        waiting.into_iter().map(|(_, incarnation)| incarnation).collect()
    }
}
