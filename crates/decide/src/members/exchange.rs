//! Scheduling of digest exchanges with other members.

use std::net;

use trefoildyke_types::{id, time};

use crate::members::{self, Membership, membership};

/// The number of periods after which an exchange without an outcome is dropped.
const EXCHANGE_TIMEOUT_PERIODS: u32 = 8;

/// The number of periods without a message after which a child is contacted.
const CHILD_SILENCE_PERIODS: u32 = 3;

/// The number of reconnect intervals after which a daemon that has met no other one considers
/// itself alone.
const ALONE_RECONNECTS: u32 = 3;

/// The number of periods after which an unreachable member is retried.
const RETRY_PERIODS: u32 = 5;

impl Membership {
    pub(crate) fn tick(&mut self, now: time::Timestamp, outputs: &mut Vec<members::Output>) {
        if now.since(self.times.tick) >= self.params.pause {
            self.resume(now);
        }
        self.times.tick = now;
        if now.since(self.times.period) < self.params.period {
            return;
        }
        self.times.period = now;
        self.open_exchanges
            .retain(|(_, start)| now.since(*start) < self.params.period * EXCHANGE_TIMEOUT_PERIODS);
        self.expire_suspects(now);
        self.remove_dead(now);
        self.rotate_partners(now);
        for target in self.period_targets(now) {
            self.exchange(now, members::Target::Member(target), outputs);
        }
        self.reconnect(now, outputs);
    }

    /// Resets the state after a pause of this process, since times measured before it are
    /// meaningless.
    fn resume(&mut self, now: time::Timestamp) {
        self.open_exchanges.clear();
        self.probes.clear();
        self.joining = true;
        self.times.start = now;
        self.times.rebuild = now;
        for (_, entry) in self.table.iter_mut() {
            entry.since = now;
            entry.unreachable = None;
        }
        self.changed(now);
    }

    /// Returns the members to exchange digests with in this period.
    fn period_targets(&mut self, now: time::Timestamp) -> Vec<id::Incarnation> {
        let parent = self.tree.parent().or_else(|| self.random_partner());
        let partner = self.random_partner();
        let child = self.silent_child(now);
        let retry = self.unreachable_due(now);
        let challenged = self.challenged.keys().next().copied();
        [parent, partner, child, retry, challenged].into_iter().flatten().collect()
    }

    fn random_partner(&mut self) -> Option<id::Incarnation> {
        let index = self.random.below(self.partners.len());
        self.partners.get(index).copied()
    }

    /// Returns a child that should have started an exchange with this daemon and has not.
    fn silent_child(&self, now: time::Timestamp) -> Option<id::Incarnation> {
        let limit = self.params.period * CHILD_SILENCE_PERIODS;
        self.tree.children().into_iter().find(|child| {
            let heard = self.table.get(*child).and_then(|entry| entry.last_heard);
            let since = heard.unwrap_or_default().max(self.times.rebuild);
            now.since(since) >= limit
        })
    }

    /// Returns the member whose last failure is the longest ago, if its retry is due.
    fn unreachable_due(&mut self, now: time::Timestamp) -> Option<id::Incarnation> {
        let limit = self.params.period * RETRY_PERIODS;
        let unreachable = self.table.iter_mut().filter(|(_, entry)| entry.state.is_member());
        let (incarnation, entry) = unreachable
            .filter(|(_, entry)| entry.unreachable.is_some_and(|since| now.since(since) >= limit))
            .min_by_key(|(_, entry)| entry.unreachable)?;
        entry.unreachable = Some(now);
        Some(incarnation)
    }

    fn rotate_partners(&mut self, now: time::Timestamp) {
        let wanted = self.params.partners.min(self.table.count().saturating_sub(1));
        if now.since(self.times.rotate) >= self.params.rotate && self.partners.len() >= wanted {
            self.times.rotate = now;
            // If all other members are partners, there is no other member to change to.
            if self.table.count() > self.params.partners + 1 {
                self.random.take(&mut self.partners);
            }
        }
        if self.partners.len() >= wanted {
            return;
        }
        let mut others: Vec<_> = membership::others(&self.table, self.own).into();
        others.retain(|other| !self.partners.contains(other));
        while self.partners.len() < wanted
            && let Some(partner) = self.random.take(&mut others)
        {
            self.partners.push(partner);
        }
    }

    /// Tries an address at which no living member is known, to join the cluster or find lost
    /// members again.
    fn reconnect(&mut self, now: time::Timestamp, outputs: &mut Vec<members::Output>) {
        let alone = self.table.count() <= 1;
        if !alone && now.since(self.times.reconnect) < self.params.reconnect {
            return;
        }
        self.times.reconnect = now;
        let known: std::collections::HashSet<_> = self.living_addresses().collect();
        let dead = self.table.iter().filter(|(_, entry)| !entry.state.is_member());
        let mut addresses: Vec<_> = dead.map(|(_, entry)| entry.location.peer).collect();
        addresses.extend(&self.seeds);
        addresses.retain(|address| !known.contains(address));
        addresses.sort_unstable();
        addresses.dedup();
        if let Some(address) = self.random.take(&mut addresses) {
            self.exchange(now, members::Target::Address(address), outputs);
        }
    }

    fn living_addresses(&self) -> impl Iterator<Item = net::SocketAddr> {
        let living = self.table.iter().filter(|(_, entry)| entry.state.is_member());
        living.map(|(_, entry)| entry.location.peer)
    }

    /// Sends changed subtree reports to the parent and news to partners, without waiting for the
    /// next period.
    pub(crate) fn send_news(&mut self, now: time::Timestamp, outputs: &mut Vec<members::Output>) {
        self.report_subtree(now, outputs);
        if !self.must_push || now.since(self.times.push) < self.params.push_gap {
            return;
        }
        self.must_push = false;
        self.times.push = now;
        let mut partners = self.partners.clone();
        for _ in 0..self.params.fan_out {
            if let Some(partner) = self.random.take(&mut partners) {
                self.exchange(now, members::Target::Member(partner), outputs);
            }
        }
    }

    /// Raises the versions in force if this is the root; otherwise reports the subtree to the
    /// parent if it has changed.
    fn report_subtree(&mut self, now: time::Timestamp, outputs: &mut Vec<members::Output>) {
        if self.may_conclude(now)
            && let Some(agreed) = self.tree.agreed(self.versions)
        {
            self.raise_in_force(agreed);
        }
        let Some(parent) = self.tree.parent() else { return };
        let report = (self.table.members_hash(), self.tree.subtree(self.versions));
        let due = now.since(self.times.report) >= self.params.push_gap;
        if due && self.reported != Some(report) {
            self.exchange(now, members::Target::Member(parent), outputs);
        }
    }

    /// Returns whether this daemon knows the other members well enough to conclude what all have
    /// reached.
    ///
    /// A daemon that has just started or was paused first compares its table with another member's.
    /// If it finds none for long enough, it considers itself the only member.
    fn may_conclude(&self, now: time::Timestamp) -> bool {
        let own = self.table.get(self.own).map(|own| own.location.peer);
        let no_seed = self.seeds.iter().all(|seed| Some(*seed) == own);
        let waited = now.since(self.times.start) >= self.params.reconnect * ALONE_RECONNECTS;
        !self.joining || (self.table.count() == 1 && (no_seed || waited))
    }

    pub(crate) fn raise_in_force(&mut self, agreed: members::Versions) {
        let raised = self.in_force().max(agreed);
        if raised != self.in_force() {
            self.in_force = (self.table.members_hash(), raised);
        }
    }

    /// Starts an exchange unless one with the same target is open.
    pub(crate) fn exchange(
        &mut self,
        now: time::Timestamp,
        target: members::Target,
        outputs: &mut Vec<members::Output>,
    ) {
        self.exchange_with(now, target, Vec::new(), outputs);
    }

    /// Starts an exchange that also sends the members of the parts that differ.
    pub(crate) fn exchange_with(
        &mut self,
        now: time::Timestamp,
        target: members::Target,
        compared: Vec<members::Update>,
        outputs: &mut Vec<members::Output>,
    ) {
        if self.open_exchanges.iter().any(|(open, _)| *open == target) {
            return;
        }
        self.open_exchanges.push((target, now));
        let partner = match target {
            members::Target::Member(incarnation) => Some(incarnation),
            members::Target::Address(_) => None,
        };
        let mut digest = self.digest(partner);
        digest.updates.extend(self.challenge(target));
        digest.compared = compared;
        if digest.compared.is_empty() && self.must_compare(now, partner) {
            self.times.compare = now;
            digest.parts = self.table.parts();
        }
        if partner.is_some() && partner == self.tree.parent() {
            self.times.report = now;
            self.reported = Some((digest.members, digest.subtree));
        }
        outputs.push(members::Output::Exchange { target, digest });
    }

    /// Returns the update that the target must refute if this daemon's or another member's table
    /// holds it to be dead.
    fn challenge(&mut self, target: members::Target) -> Option<members::Update> {
        match target {
            members::Target::Member(incarnation) => {
                let sequence = self.challenged.remove(&incarnation)?;
                let state = members::State::Dead;
                Some(members::Update { incarnation, sequence, state, place: None })
            }
            members::Target::Address(address) => {
                let (incarnation, dead) = self.table.iter().find(|(_, entry)| {
                    entry.location.peer == address && !entry.state.is_member()
                })?;
                Some(dead.update(incarnation, false))
            }
        }
    }

    /// Returns whether the tables must be compared: the partner is unknown, or its table differs
    /// and either this daemon is joining or the difference has lasted.
    fn must_compare(&self, now: time::Timestamp, partner: Option<id::Incarnation>) -> bool {
        if partner.is_none() {
            return true;
        }
        let theirs = partner.and_then(|partner| self.table.get(partner)?.table_hash);
        let differs = theirs != Some(self.table.hash());
        let settled = now.since(self.times.change) >= self.params.settle
            && now.since(self.times.compare) >= self.params.settle;
        differs && (self.joining || (theirs.is_some() && settled))
    }

    /// Returns the digest for `partner`, starting with the updates that it needs first.
    pub(crate) fn digest(&mut self, partner: Option<id::Incarnation>) -> members::Digest {
        let resend = self.params.resend_among(self.table.count());
        let rumors = self.rumors.take(self.params.updates, resend);
        let known = partner.and_then(|partner| self.table.get(partner));
        let mut first = Vec::new();
        match (partner, known) {
            (Some(partner), Some(entry)) if entry.state != members::State::Alive => {
                first.push(entry.update(partner, false));
            }
            (Some(_), Some(_)) => {}
            // An unknown partner needs this daemon's own entry, to answer and to call back.
            _ => first.extend(self.table.get(self.own).map(|own| own.update(self.own, true))),
        }
        let news = rumors.into_iter().filter_map(|incarnation| {
            let entry = self.table.get(incarnation)?;
            Some(entry.update(incarnation, entry.state.is_member()))
        });
        members::Digest {
            from: self.own,
            members: self.table.members_hash(),
            table: self.table.hash(),
            config: self.versions.config,
            subtree: self.tree.subtree(self.versions),
            in_force: self.in_force(),
            updates: first.into_iter().chain(news).collect(),
            parts: Vec::new(),
            compared: Vec::new(),
        }
    }
}
