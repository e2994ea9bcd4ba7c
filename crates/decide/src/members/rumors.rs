//! News that is still being gossiped.

use std::collections;

use trefoildyke_types::id;

/// The news to gossip, with how often each item has been sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rumors {
    sent: collections::BTreeMap<id::Incarnation, usize>,
}

impl Rumors {
    /// Adds news about a member; older news about it is replaced.
    pub(crate) fn add(&mut self, incarnation: id::Incarnation) {
        self.sent.insert(incarnation, 0);
    }

    /// Returns at most `count` members whose news was sent least often, and counts it as sent.
    ///
    /// News that has been sent `resend` times is dropped.
    pub(crate) fn take(&mut self, count: usize, resend: usize) -> Vec<id::Incarnation> {
        let mut least_sent: Vec<_> =
            self.sent.iter().map(|(incarnation, sent)| (*sent, *incarnation)).collect();
        least_sent.sort_unstable();
        least_sent.truncate(count);
        for (sent, incarnation) in &least_sent {
            if sent + 1 >= resend {
                self.sent.remove(incarnation);
            } else {
                self.sent.insert(*incarnation, sent + 1);
            }
        }
        least_sent.into_iter().map(|(_, incarnation)| incarnation).collect()
    }
}
