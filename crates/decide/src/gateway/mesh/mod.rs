//! Membership of the daemons, and the state known of each member.

mod hubs;
mod placers;
mod placing;

use std::{collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

pub use placing::PlacingAbility;

/// The members and the state that they report.
///
/// Members come from a list that may be out of date. A daemon announces itself to all members once
/// when it starts and once when it leaves. Between these announcements only a few daemons, the
/// hubs, exchange messages regularly, so that the messages sent and received by a daemon do not
/// grow with the number of members. A listed member that was not heard counts as alive until it
/// leaves a query unanswered. A daemon that announces its start is a member before it is listed: of
/// two daemons, the one that was listed later finds the other in the list, so that daemons that
/// start together know each other without reading the list repeatedly. All other messages are
/// accepted only from listed addresses.
#[derive(Clone, Debug)]
pub struct Mesh {
    own: net::SocketAddr,
    /// The capacity of this daemon's host for work on behalf of other daemons.
    strength: gateway::Strength,
    /// Whether the store left this daemon's last call unanswered.
    unanswered: bool,
    /// Whether the store left this daemon's last call for the configuration unanswered.
    config_unanswered: bool,
    /// How long a hub may be silent before it counts as not heard.
    silence_limit: time::Duration,
    /// The time until which this daemon's own entry is certain to exist; `None` if the entry cannot
    /// expire.
    entry_until: Option<Timestamp>,
    /// The time at which a list of the members was first received.
    listed_at: Option<Timestamp>,
    /// Whether a message came from a daemon that is not listed.
    unlisted_heard: bool,
    /// The other members, by address.
    members: collections::BTreeMap<net::SocketAddr, Member>,
    /// All addresses in the order in which they become hubs; derived from `members`, `own` and
    /// `strength`.
    ranked: Vec<net::SocketAddr>,
    /// The hash of the hubs; derived from `ranked`.
    hub_hash: u64,
    /// The last time at which the number of members fell, and the number before.
    last_drop: Option<(Timestamp, usize)>,
}

#[derive(Clone, Debug, Default)]
struct Member {
    /// The incarnation and number of the last digest.
    last_digest: Option<(u64, u64)>,
    /// When the last digest came.
    heard_at: Option<Timestamp>,
    /// When the member last queried this daemon about the store.
    asked_at: Option<Timestamp>,
    /// The number of daemons that query the member about the store and use the same hubs, as last
    /// reported by the member.
    clients: u16,
    /// The hash of the hubs that the member uses, as last reported by the member.
    hub_hash: u64,
    /// The time until which the daemon is a member without being listed, because it has announced
    /// its start.
    announced_until: Option<Timestamp>,
    /// The time until which the member counts as just started.
    new_until: Option<Timestamp>,
    /// Whether the member has announced that it leaves.
    leaving: bool,
    strength: gateway::Strength,
    /// The time until which the store is assumed not to answer the member.
    unanswered_until: Option<Timestamp>,
    /// The time until which the member is not queried, because it left a query unanswered.
    backoff_until: Option<Timestamp>,
    /// The number of consecutive queries that the member left unanswered.
    timeouts: u32,
    /// Whether all usage of this incarnation was heard, because an earlier incarnation was known
    /// when it started.
    fully_heard: bool,
    usage: collections::HashMap<id::AccountName, Spend>,
}

/// The usage of an account at a member.
#[derive(Clone, Copy, Debug, Default)]
struct Spend {
    /// The last reported total.
    used: u64,
    /// The last reported total of what was given back.
    returned: u64,
    /// The usage counted by this daemon and not given back. Amounts given back beyond this were
    /// never counted here.
    counted: u64,
}

impl Spend {
    /// Creates the usage from the first reported totals. All of it is new if the start of the
    /// member was heard.
    const fn new(totals: &gateway::AccountSpend, is_fully_heard: bool) -> Self {
        let (used, returned) = if is_fully_heard { (0, 0) } else { (totals.used, totals.returned) };
        Self { used, returned, counted: 0 }
    }

    /// Records new totals and returns what they add to the usage counted by this daemon.
    fn add(&mut self, totals: &gateway::AccountSpend, is_counted: bool) -> gateway::AccountSpend {
        let used = if is_counted { totals.used.saturating_sub(self.used) } else { 0 };
        let returned = totals.returned.saturating_sub(self.returned).min(self.counted + used);
        self.used = totals.used;
        self.returned = totals.returned;
        self.counted = self.counted + used - returned;
        gateway::AccountSpend { used, returned, ..totals.clone() }
    }
}

/// Another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The address to which digests are sent and from which they come.
    pub address: net::SocketAddr,
    /// The capacity of its host for work on behalf of other daemons.
    pub strength: gateway::Strength,
}

/// The fraction of each quota that a daemon may use if it never received a list of the members.
const UNLISTED_FRACTION: f64 = 1.0 / 32.0;

/// How long the store is assumed not to answer a daemon after the daemon reported this. The daemon
/// is not queried in the meantime, so it cannot report that the store answers again.
const UNANSWERED_HOLD: time::Duration = time::Duration::from_millis(2_000);

/// How long a daemon that has announced its start is a member without being listed: lists may be
/// some seconds old, and are read every few seconds.
const ANNOUNCED_HOLD: time::Duration = time::Duration::from_secs(10);

/// How long members that are gone count when a limit is divided among the members: the longest
/// window of such a limit.
const DEPARTED_HOLD: time::Duration = time::Duration::from_secs(10);

/// The maximum number of members that are accepted without being listed.
const MAX_MEMBERS: usize = 16_384;

/// The new information in a digest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DigestChanges {
    /// What each account has used and given back since the sender's last digest.
    pub spent: Vec<gateway::AccountSpend>,
    /// The levels of the sender's buckets for accounts that the sender names for the first time.
    pub levels: Vec<gateway::AccountSpend>,
    /// Whether the sender's load is to be discarded, because it leaves or has restarted.
    pub discard_load: bool,
}

impl Mesh {
    /// Creates a mesh without other members; `own` is this daemon's address for digests.
    pub fn new(own: net::SocketAddr, silence_limit: time::Duration) -> Self {
        Self {
            own,
            strength: gateway::Strength::UNKNOWN,
            unanswered: false,
            config_unanswered: false,
            silence_limit,
            entry_until: None,
            listed_at: None,
            unlisted_heard: false,
            members: collections::BTreeMap::new(),
            ranked: vec![own],
            hub_hash: 0,
            last_drop: None,
        }
    }

    /// Sets the capacity of this daemon's host for work on behalf of other daemons.
    #[must_use]
    pub fn with_strength(mut self, strength: gateway::Strength) -> Self {
        self.strength = strength;
        self
    }

    /// Returns the capacity of this daemon's host for work on behalf of other daemons.
    pub const fn strength(&self) -> gateway::Strength {
        self.strength
    }

    /// Records that this daemon's own entry exists until `until` at least.
    pub fn extend_lease(&mut self, until: Timestamp) {
        self.entry_until = self.entry_until.max(Some(until));
    }

    /// Returns whether all daemons are certain to count this daemon as a member.
    ///
    /// If its entry may have expired, the others may have divided its parts among themselves.
    pub fn is_listed(&self, now: Timestamp) -> bool {
        self.entry_until.is_none_or(|until| now < until)
    }

    /// Records whether the store has answered this daemon's last call, and returns whether
    /// [`Self::is_unanswered`] has changed.
    pub const fn note_answer(&mut self, is_answered: bool) -> bool {
        let before = self.is_unanswered();
        self.unanswered = !is_answered;
        self.is_unanswered() != before
    }

    /// Records whether the store has answered this daemon's last call, which was for the
    /// configuration, and returns whether [`Self::is_unanswered`] has changed.
    pub const fn note_config_answer(&mut self, is_answered: bool) -> bool {
        let before = self.is_unanswered();
        self.unanswered = !is_answered;
        self.config_unanswered = !is_answered;
        self.is_unanswered() != before
    }

    /// Returns whether the store left this daemon's last call, or its last call for the configuration,
    /// unanswered.
    ///
    /// Such a daemon should not read the store for others. Answers to other calls do not show that
    /// it confirms the configuration.
    pub const fn is_unanswered(&self) -> bool {
        self.unanswered || self.config_unanswered
    }

    /// Returns whether only a call for the configuration has to be answered for this daemon to read
    /// the store on behalf of all daemons.
    pub fn should_read_config(&self, now: Timestamp) -> bool {
        self.config_unanswered && !self.unanswered && self.is_reader_if_answered(now)
    }

    /// Records whether the store has answered a member's last call, as reported in the member's
    /// reply to a query.
    pub fn note_member_answer(&mut self, now: Timestamp, from: net::SocketAddr, is_answered: bool) {
        if let Some(member) = self.members.get_mut(&from) {
            member.unanswered_until = (!is_answered).then(|| now + UNANSWERED_HOLD);
        }
    }

    /// Returns this daemon's address for digests.
    pub const fn own(&self) -> net::SocketAddr {
        self.own
    }

    /// Replaces the list of members and returns the members that are gone from it.
    pub fn replace(&mut self, now: Timestamp, list: &[Peer]) -> Vec<net::SocketAddr> {
        let before = self.count_lately(now);
        let listed: collections::BTreeSet<_> = list.iter().map(|peer| peer.address).collect();
        let is_gone = |(address, member): &(&net::SocketAddr, &Member)| {
            !listed.contains(address) && member.announced_until.is_none_or(|until| now >= until)
        };
        let gone = self.members.iter().filter(is_gone).map(|(address, _)| *address);
        let gone: Vec<_> = gone.collect();
        for address in &gone {
            self.members.remove(address);
        }
        self.extend(now, list);
        if self.count() < before {
            self.last_drop = Some((now, before));
        }
        gone
    }

    /// Adds a list of members from which members that are alive may be missing.
    pub fn extend(&mut self, now: Timestamp, list: &[Peer]) {
        self.listed_at.get_or_insert(now);
        for peer in list.iter().filter(|peer| peer.address != self.own) {
            self.members.entry(peer.address).or_default().strength = peer.strength;
        }
        self.update_ranking();
    }

    /// Records a digest and returns the new information; `None` if the sender is not a member or
    /// the digest is not newer than the last one.
    pub fn note(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        digest: &gateway::Digest,
    ) -> Option<DigestChanges> {
        if digest.starting {
            self.add_announced(from, digest.strength);
        }
        let Some(member) = self.members.get_mut(&from) else {
            self.unlisted_heard |= !digest.leaving;
            return None;
        };
        let is_same =
            member.last_digest.is_some_and(|(incarnation, _)| incarnation == digest.incarnation);
        if is_same && member.last_digest.is_some_and(|(_, number)| number >= digest.number) {
            return None;
        }
        // What a member used before it was first heard stays unknown, as after a restart of this
        // daemon. What it used while it was silent is not counted, because both sides kept to their
        // own parts in that time.
        let is_first = member.last_digest.is_none();
        let was_silent = member.heard_at.is_none_or(|at| now.since(at) > self.silence_limit);
        if !is_same {
            member.usage.clear();
            member.fully_heard = !is_first;
        }
        if digest.starting {
            member.announced_until = Some(now + ANNOUNCED_HOLD);
            member.new_until = Some(now + placing::NEW_AGE);
            member.reset_timeouts();
        }
        member.last_digest = Some((digest.incarnation, digest.number));
        member.heard_at = (!digest.leaving).then_some(now);
        member.leaving = digest.leaving;
        member.unanswered_until = digest.unanswered.then(|| now + UNANSWERED_HOLD);
        member.clients = digest.clients;
        member.hub_hash = digest.hub_mark;
        let discard_load = digest.leaving || (digest.starting && !is_same);
        let mut changes = DigestChanges { discard_load, ..DigestChanges::default() };
        for spend in &digest.spend {
            let is_named = member.usage.contains_key(&spend.account);
            let known = member.usage.entry(spend.account.clone());
            let known = known.or_insert_with(|| Spend::new(spend, member.fully_heard));
            let added = known.add(spend, !is_first && !was_silent);
            if !is_named {
                changes.levels.push(spend.clone());
            }
            if added.used > 0 || added.returned > 0 {
                changes.spent.push(added);
            }
        }
        Some(changes)
    }

    /// Adds a daemon that announces its start as a member.
    fn add_announced(&mut self, from: net::SocketAddr, strength: gateway::Strength) {
        if from == self.own || self.members.contains_key(&from) || self.members.len() >= MAX_MEMBERS
        {
            return;
        }
        self.members.insert(from, Member { strength, ..Member::default() });
        self.update_ranking();
    }

    /// Records that a daemon has replied, or that a daemon that is not listed has sent a message.
    ///
    /// Unsolicited messages of a daemon do not show that it replies to queries: it may be too busy
    /// for that.
    pub fn record_reply(&mut self, from: net::SocketAddr) {
        match self.members.get_mut(&from) {
            Some(member) => member.reset_timeouts(),
            None => self.unlisted_heard = true,
        }
    }

    /// Returns whether a daemon that is not listed was heard since the last call, which means that
    /// the list is out of date.
    pub const fn take_unlisted_heard(&mut self) -> bool {
        std::mem::replace(&mut self.unlisted_heard, false)
    }

    /// Returns the number of members, including this daemon.
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns the largest recent number of members.
    ///
    /// When members leave, a limit that is divided among the members must not be divided anew at
    /// once: the members that are gone have used their shares.
    pub fn count_lately(&self, now: Timestamp) -> usize {
        let last_drop = self.last_drop.filter(|(at, _)| now.since(*at) <= DEPARTED_HOLD);
        last_drop.map_or(0, |(_, before)| before).max(self.count())
    }

    /// Returns the fraction of an equally divided limit that this daemon may use.
    ///
    /// The fraction is 0 if the daemon has read no list of members, because it would count only
    /// itself and use the whole limit. It is also 0 if the daemon's entry may have expired, because
    /// the other members may have divided its share among themselves.
    pub fn equal_share(&self, now: Timestamp) -> f64 {
        if self.listed_at.is_none() || !self.is_listed(now) {
            return 0.0;
        }
        1.0 / self.count_lately(now) as f64
    }

    /// Returns whether messages from `address` are accepted.
    pub fn is_member(&self, address: net::SocketAddr) -> bool {
        self.members.contains_key(&address)
    }

    /// Returns the addresses of the other members.
    pub fn others(&self) -> Vec<net::SocketAddr> {
        self.members.keys().copied().collect()
    }
}

impl Member {
    /// Resets the count of unanswered queries, because the member has replied or has restarted.
    const fn reset_timeouts(&mut self) {
        self.backoff_until = None;
        self.timeouts = 0;
    }

    /// Returns whether a digest of the member came within the last `limit`.
    fn is_heard(&self, now: Timestamp, limit: time::Duration) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) <= limit)
    }

    /// Returns whether the member may be queried.
    fn may_answer(&self, now: Timestamp) -> bool {
        !self.leaving && self.backoff_until.is_none_or(|until| now >= until)
    }
}
