//! Merging of the digests that other daemons send.

use trefoildyke_types::{id, time};

use crate::members::{self, Membership, table::PARTS};

/// The number of periods during which a member's death is sent to those who do not know of it.
const FRESH_PERIODS: u32 = 30;

impl Membership {
    /// Merges a digest that started an exchange, and answers it.
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
        self.open_exchanges.retain(|(open, _)| *open != target);
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

    /// Merges a digest and returns newer updates for what its sender has out of date.
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
            self.merge_compared(now, update);
        }
        self.record_contact(now, digest);
        self.tree.record_report(digest.from, digest.members, digest.subtree);
        if digest.members == self.table.members_hash() {
            self.raise_in_force(digest.in_force);
        }
        self.pull_config(now, digest, outputs);
        corrections
    }

    /// Applies an entry of another member's table, except for deaths, which are verified with the
    /// member.
    ///
    /// The other table may be the outdated one, after a network partition or a pause.
    fn merge_compared(&mut self, now: time::Timestamp, update: &members::Update) {
        if update.incarnation == self.own {
            self.refute(now, update);
        } else if update.state != members::State::Dead {
            // Other members compare their tables too. Gossiping these updates would flood the
            // digests after every join.
            self.apply(update, now);
        } else if let Some(entry) = self.table.get(update.incarnation)
            && entry.state.is_member()
            && entry.precedence() < update.precedence()
        {
            self.challenged.insert(update.incarnation, update.sequence);
        }
    }

    /// Refutes an update that outranks this daemon's own state, with a higher sequence number.
    fn refute(&mut self, now: time::Timestamp, update: &members::Update) {
        let Some(own) = self.table.get(self.own) else { return };
        let state = own.state;
        let is_behind = update.sequence > own.sequence;
        if is_behind || (update.sequence == own.sequence && update.state > state) {
            let mut current = own.update(self.own, false);
            current.sequence = update.sequence + 1;
            self.accept(&current, now);
        }
    }

    /// Returns this daemon's newer update for the member of `update`, if it is recent enough to
    /// send.
    ///
    /// An old death is not sent: it may stem from a network partition that has ended, and the
    /// member itself refutes it as soon as it contacts a member that believes it.
    fn correction(
        &self,
        now: time::Timestamp,
        update: &members::Update,
    ) -> Option<members::Update> {
        let entry = self.table.get(update.incarnation)?;
        let fresh = now.since(entry.since) < self.params.period * FRESH_PERIODS;
        let better = entry.precedence() > update.precedence();
        (better && (fresh || entry.state.is_member()))
            .then(|| entry.update(update.incarnation, false))
    }

    /// Records a message from the sender of `digest`.
    fn record_contact(&mut self, now: time::Timestamp, digest: &members::Digest) {
        self.times.contact = Some(now);
        let Some(entry) = self.table.get_mut(digest.from) else { return };
        entry.last_heard = Some(now);
        entry.table_hash = Some(digest.table);
        if entry.unreachable.take().is_some() {
            self.changed(now);
        }
    }

    /// Requests the configuration changes that the sender of `digest` has.
    fn pull_config(
        &mut self,
        now: time::Timestamp,
        digest: &members::Digest,
        outputs: &mut Vec<members::Output>,
    ) {
        let (asked, at) = self.last_pull;
        let open = digest.config <= asked && now.since(at) < self.params.period;
        if digest.config > self.versions.config && !open {
            self.last_pull = (digest.config, now);
            let from: id::Incarnation = digest.from;
            outputs.push(members::Output::Pull { from, version: digest.config });
        }
    }
}
