//! Failure detection: from a missing answer to suspicion and death.

use trefoildyke_types::{id, time};

use crate::members::{self, Membership, membership, probes::ProbeResult};

/// Members from which a message arrived within this number of periods are preferred as helpers.
const RECENT_PERIODS: u32 = 3;

impl Membership {
    /// Records that a member did not answer, and asks helpers to reach it.
    ///
    /// Until they have answered, only this daemon treats the member as suspect.
    pub(crate) fn failed(
        &mut self,
        now: time::Timestamp,
        target: members::Target,
        outputs: &mut Vec<members::Output>,
    ) {
        self.open_exchanges.retain(|(open, _)| *open != target);
        let members::Target::Member(target) = target else { return };
        let Some(entry) = self.table.get_mut(target) else { return };
        if !entry.state.is_member() || target == self.own {
            return;
        }
        if entry.unreachable.replace(now).is_none() {
            self.changed(now);
        }
        if self.probes.is_pending(target) {
            return;
        }
        self.probe(now, target, outputs);
    }

    fn probe(
        &mut self,
        now: time::Timestamp,
        target: id::Incarnation,
        outputs: &mut Vec<members::Output>,
    ) {
        if self.table.count() <= 2 {
            // There is no other member to ask.
            self.suspect(now, target);
            return;
        }
        let helpers = self.choose_helpers(now, target);
        if helpers.is_empty() {
            return;
        }
        self.probes.start(target, helpers.len());
        let probe = |via| members::Output::Probe { via, target };
        outputs.extend(helpers.into_iter().map(probe));
    }

    /// Chooses the helpers; members heard from recently come first, since the others may be cut off
    /// too.
    fn choose_helpers(
        &mut self,
        now: time::Timestamp,
        target: id::Incarnation,
    ) -> Vec<id::Incarnation> {
        let limit = self.params.period * RECENT_PERIODS;
        let others = membership::others(&self.table, self.own);
        let others = others.into_iter().filter(|other| *other != target);
        let (mut recent, mut rest): (Vec<_>, Vec<_>) = others.partition(|other| {
            let entry = self.table.get(*other);
            let reached = entry.filter(|entry| entry.unreachable.is_none());
            let heard = reached.and_then(|entry| entry.last_heard);
            heard.is_some_and(|heard| now.since(heard) < limit)
        });
        rest.retain(|other| {
            self.table
                .get(*other)
                .is_some_and(|entry| entry.effective_state() == members::State::Alive)
        });
        let mut chosen = Vec::new();
        while chosen.len() < self.params.helpers
            && let Some(helper) =
                self.random.take(&mut recent).or_else(|| self.random.take(&mut rest))
        {
            chosen.push(helper);
        }
        chosen
    }

    /// Counts a helper's result.
    pub(crate) fn probed(
        &mut self,
        now: time::Timestamp,
        target: id::Incarnation,
        reached: Option<bool>,
    ) {
        if self.probes.answer(target, reached) == ProbeResult::Unreached {
            self.suspect(now, target);
        }
    }

    /// Declares a member suspect, or dead if it was leaving, and tells the others.
    fn suspect(&mut self, now: time::Timestamp, target: id::Incarnation) {
        let Some(entry) = self.table.get(target) else { return };
        let mut update = entry.update(target, false);
        update.state = match entry.state {
            members::State::Alive => members::State::Suspect,
            members::State::Leaving => members::State::Dead,
            members::State::Suspect | members::State::Dead => return,
        };
        if self.accept(&update, now) {
            self.must_push = true;
        }
    }

    /// Declares the members dead that have been suspect for too long.
    pub(crate) fn expire_suspects(&mut self, now: time::Timestamp) {
        let limit = self.params.suspicion_among(self.table.count());
        let expired: Vec<_> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.state == members::State::Suspect)
            .filter(|(member, entry)| *member != self.own && now.since(entry.since) >= limit)
            .map(|(member, entry)| {
                let mut update = entry.update(member, false);
                update.state = members::State::Dead;
                update
            })
            .collect();
        for update in expired {
            self.accept(&update, now);
        }
    }

    /// Removes the members that have been dead for long enough.
    pub(crate) fn remove_dead(&mut self, now: time::Timestamp) {
        let limit = self.params.forget;
        let dead = |entry: &members::entry::Entry| {
            !entry.state.is_member() && now.since(entry.since) >= limit
        };
        if self.table.remove_where(dead) {
            self.changed(now);
        }
    }
}
