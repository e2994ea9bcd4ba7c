//! What a daemon learns from the digests of others.

use trefoildyke_types::{id, time};

use crate::members::{self, Membership, table::PARTS};

/// A dead member's death is told to those who have not heard for so many periods.
const FRESH_PERIODS: u32 = 30;

impl Membership {
    /// Merges a digest that started an exchange and answers it.
    pub(crate) fn received(
        &mut self,
        now: time::Timestamp,
        digest: &members::Digest,
        outputs: &mut Vec<members::Output>,
    ) {
        let known = self.table.get(digest.from).is_some();
        let corrections = self.merge(now, digest, outputs);
        let mut answer = self.digest(known.then_some(digest.from));
        answer.updates.extend(corrections);
        if digest.parts.len() == PARTS {
            answer.compared = self.differing(now, &digest.parts);
            answer.parts = self.table.parts();
        }
        outputs.push(members::Output::Answer(answer));
    }

    /// Merges the answer to an exchange that this daemon started.
    pub(crate) fn answered(
        &mut self,
        now: time::Timestamp,
        target: members::Target,
        digest: &members::Digest,
        outputs: &mut Vec<members::Output>,
    ) {
        self.exchanging.retain(|(open, _)| *open != target);
        let before = (self.version, self.sequence());
        self.merge(now, digest, outputs);
        let learned = before.0 != self.version;
        let refuted = before.1 != self.sequence();
        let equal = digest.table == self.table.hash();
        let compared = digest.parts.len() == PARTS && !equal;
        let again = members::Target::Member(digest.from);
        if self.joining {
            self.joining = !equal;
            if self.joining && learned {
                self.exchange(now, again, outputs);
            }
        } else if compared {
            let differing = self.differing(now, &digest.parts);
            self.exchange_with(now, again, differing, outputs);
        } else if refuted {
            self.exchange(now, again, outputs);
        }
    }

    fn differing(&self, now: time::Timestamp, parts: &[u32]) -> Vec<members::Update> {
        let start = usize::try_from(now.as_millis()).unwrap_or(0);
        self.table.differing(parts, start, self.params.bulk)
    }

    fn sequence(&self) -> Option<u32> {
        self.table.get(self.own).map(|own| own.sequence)
    }

    /// Merges a digest and returns what its sender should have known.
    fn merge(
        &mut self,
        now: time::Timestamp,
        digest: &members::Digest,
        outputs: &mut Vec<members::Output>,
    ) -> Vec<members::Update> {
        if digest.from == self.own {
            return Vec::new();
        }
        let mut corrections = Vec::new();
        for update in &digest.updates {
            if update.incarnation == self.own {
                self.refute(now, update);
            } else if !self.accept(update, now) {
                corrections.extend(self.correction(now, update));
            }
        }
        for update in &digest.compared {
            self.compare(now, update);
        }
        self.heard(now, digest);
        self.tree.report(digest.from, digest.members, digest.subtree);
        if digest.members == self.table.members_hash() {
            self.raise_in_force(digest.in_force);
        }
        self.pull(now, digest, outputs);
        corrections
    }

    /// Takes over what another table holds, except deaths: those are checked with the member.
    ///
    /// The other table may be the one that is behind, after a cut or a pause.
    fn compare(&mut self, now: time::Timestamp, update: &members::Update) {
        if update.incarnation == self.own {
            self.refute(now, update);
        } else if update.state != members::State::Dead {
            // Others compare as well: telling it on would flood the digests after every join.
            self.apply(update, now);
        } else if let Some(entry) = self.table.get(update.incarnation)
            && entry.state.counts()
            && entry.precedence() < update.precedence()
        {
            self.challenged.insert(update.incarnation, update.sequence);
        }
    }

    /// Outdoes a statement that this daemon is suspect or dead.
    fn refute(&mut self, now: time::Timestamp, update: &members::Update) {
        let Some(own) = self.table.get(self.own) else { return };
        let state = own.state;
        let behind = update.sequence > own.sequence;
        if behind || (update.sequence == own.sequence && update.state > state) {
            let mut current = own.update(self.own, false);
            current.sequence = update.sequence + 1;
            self.accept(&current, now);
        }
    }

    /// Returns what this daemon knows better than `update`, if that is fresh enough to be told.
    ///
    /// An old death is not told: it may stem from a cut that is over, and the member refutes it
    /// itself as soon as it meets somebody who believes it.
    fn correction(
        &self,
        now: time::Timestamp,
        update: &members::Update,
    ) -> Option<members::Update> {
        let entry = self.table.get(update.incarnation)?;
        let fresh = now.since(entry.since) < self.params.period * FRESH_PERIODS;
        let better = entry.precedence() > update.precedence();
        (better && (fresh || entry.state.counts())).then(|| entry.update(update.incarnation, false))
    }

    /// Notes that the sender of `digest` is there.
    fn heard(&mut self, now: time::Timestamp, digest: &members::Digest) {
        self.times.contact = Some(now);
        let Some(entry) = self.table.get_mut(digest.from) else { return };
        entry.heard = Some(now);
        entry.table = Some(digest.table);
        if entry.unreachable.take().is_some() {
            self.changed(now);
        }
    }

    /// Asks for the configuration changes that the sender of `digest` has.
    fn pull(
        &mut self,
        now: time::Timestamp,
        digest: &members::Digest,
        outputs: &mut Vec<members::Output>,
    ) {
        let (asked, at) = self.pulling;
        let open = digest.config <= asked && now.since(at) < self.params.period;
        if digest.config > self.versions.config && !open {
            self.pulling = (digest.config, now);
            let from: id::Incarnation = digest.from;
            outputs.push(members::Output::Pull { from, version: digest.config });
        }
    }
}
