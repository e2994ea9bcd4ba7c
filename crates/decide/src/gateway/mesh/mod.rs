//! Which other daemons are heard.

mod roles;

use std::{collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

/// Follows the members and what they say.
///
/// Members come from a list that may lag; whoever is listed and silent counts as a member that is
/// not heard. Only digests from listed addresses are taken in.
#[derive(Clone, Debug)]
pub struct Mesh {
    own: net::SocketAddr,
    /// This daemon's availability zone.
    zone: id::ZoneName,
    /// How much work for others this daemon's host can take.
    strength: gateway::Strength,
    /// Whether the store left this daemon's last call without an answer.
    unanswered: bool,
    /// How long a member may be silent before its digest is forgotten.
    silence: time::Duration,
    /// Whether the members were ever listed.
    listed: bool,
    /// Whether a daemon that is not listed was heard.
    met_stranger: bool,
    /// Addresses of the others.
    members: collections::BTreeMap<net::SocketAddr, Member>,
}

#[derive(Clone, Debug, Default)]
struct Member {
    zone: Option<id::ZoneName>,
    /// The last digest's incarnation and number.
    last: Option<(u64, u64)>,
    heard: Option<Timestamp>,
    /// Whether the member's loads are counted.
    counted: bool,
    /// Whether it can place the requests of others.
    placing: gateway::Placing,
    strength: gateway::Strength,
    /// Whether the store left its last call without an answer.
    unanswered: bool,
    /// Until when it is not asked, since it left a question unanswered.
    doubted_until: Option<Timestamp>,
    /// Whether everything that this incarnation used was heard: it began after another one.
    whole: bool,
    spends: collections::HashMap<id::AccountName, Spend>,
}

/// What a member has said of its use of an account.
#[derive(Clone, Copy, Debug, Default)]
struct Spend {
    /// The total that it told last.
    used: u64,
    /// The total that it told last of what was given back.
    returned: u64,
    /// What this daemon has counted of the use and was not given back; what is given back beyond it was never
    /// counted here.
    counted: u64,
}

impl Spend {
    /// Starts with the first total that was told: all of it is new if the member's begin was heard.
    const fn new(told: &gateway::AccountSpend, is_whole: bool) -> Self {
        let (used, returned) = if is_whole { (0, 0) } else { (told.used, told.returned) };
        Self { used, returned, counted: 0 }
    }

    /// Returns what the new totals add to what is counted here.
    fn take(&mut self, told: &gateway::AccountSpend, is_counted: bool) -> gateway::AccountSpend {
        let used = if is_counted { told.used.saturating_sub(self.used) } else { 0 };
        let returned = told.returned.saturating_sub(self.returned).min(self.counted + used);
        self.used = told.used;
        self.returned = told.returned;
        self.counted = self.counted + used - returned;
        gateway::AccountSpend { used, returned, ..told.clone() }
    }
}

/// Names another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it is told and heard.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: id::ZoneName,
}

/// Up to how many members each is told everything at once, wherever it is.
///
/// Messages grow with the square of the members, and bytes between availability zones are paid for.
const SMALL: usize = 16;

/// The part of each quota that a daemon takes that never got a list of the members.
const UNLISTED_PART: f64 = 1.0 / 32.0;

/// Holds what a digest adds to what was known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// What each account has used and given back since the last digest of the sender.
    pub spent: Vec<gateway::AccountSpend>,
    /// What the sender's buckets hold of accounts that it names for the first time.
    pub levels: Vec<gateway::AccountSpend>,
    /// Whether the sender's loads are to be forgotten.
    pub leaving: bool,
}

impl Mesh {
    /// Starts with no other member; `own` is this daemon's address for digests.
    pub const fn new(own: net::SocketAddr, zone: id::ZoneName, silence: time::Duration) -> Self {
        Self {
            own,
            zone,
            strength: gateway::Strength::UNKNOWN,
            unanswered: false,
            silence,
            listed: false,
            met_stranger: false,
            members: collections::BTreeMap::new(),
        }
    }

    /// Sets how much work for others this daemon's host can take.
    #[must_use]
    pub const fn with_strength(mut self, strength: gateway::Strength) -> Self {
        self.strength = strength;
        self
    }

    /// Returns how much work for others this daemon's host can take.
    pub const fn strength(&self) -> gateway::Strength {
        self.strength
    }

    /// Notes whether the store has answered this daemon's last call; says whether that has changed.
    pub const fn note_answer(&mut self, is_answered: bool) -> bool {
        std::mem::replace(&mut self.unanswered, !is_answered) == is_answered
    }

    /// Says whether the store left this daemon's last call without an answer.
    pub const fn is_unanswered(&self) -> bool {
        self.unanswered
    }

    /// Returns this daemon's address for digests.
    pub const fn own(&self) -> net::SocketAddr {
        self.own
    }

    /// Takes in the list of members and returns those that are gone from it.
    pub fn replace(&mut self, list: &[Peer]) -> Vec<net::SocketAddr> {
        self.listed = true;
        let is_listed =
            |address: &net::SocketAddr| list.iter().any(|peer| peer.address == *address);
        let gone = |(address, _): &(&net::SocketAddr, &Member)| !is_listed(address);
        let gone: Vec<_> = self.members.iter().filter(gone).map(|(address, _)| *address).collect();
        for address in &gone {
            self.members.remove(address);
        }
        for peer in list.iter().filter(|peer| peer.address != self.own) {
            self.members.entry(peer.address).or_default().zone = Some(peer.zone.clone());
        }
        gone
    }

    /// Takes in a digest; `None` if it is from a stranger or older than another.
    pub fn note(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        digest: &gateway::Digest,
    ) -> Option<News> {
        let Some(member) = self.members.get_mut(&from) else {
            self.met_stranger |= !digest.leaving;
            return None;
        };
        let is_same = member.last.is_some_and(|(incarnation, _)| incarnation == digest.incarnation);
        if is_same && member.last.is_some_and(|(_, number)| number >= digest.number) {
            return None;
        }
        // What a member used before it was first heard stays unknown, like after its restart. What
        // it used while it was silent was left to it: both sides kept to their parts.
        let is_first = member.last.is_none();
        let was_silent = member.heard.is_none_or(|heard| now.since(heard) > self.silence);
        if !is_same {
            member.spends.clear();
            member.whole = !is_first;
        }
        member.last = Some((digest.incarnation, digest.number));
        member.heard = (!digest.leaving).then_some(now);
        member.counted = !digest.leaving;
        member.strength = digest.strength;
        member.unanswered = digest.unanswered;
        member.placing = if digest.leaving { gateway::Placing::Unable } else { digest.placing };
        let mut news = News { leaving: digest.leaving, ..News::default() };
        for spend in &digest.spend {
            let is_named = member.spends.contains_key(&spend.account);
            let known = member.spends.entry(spend.account.clone());
            let known = known.or_insert_with(|| Spend::new(spend, member.whole));
            let added = known.take(spend, !is_first && !was_silent);
            if !is_named {
                news.levels.push(spend.clone());
            }
            if added.used > 0 || added.returned > 0 {
                news.spent.push(added);
            }
        }
        Some(news)
    }

    /// Says whether a daemon that is not listed was heard since the last call: the list is too old.
    pub const fn take_stranger(&mut self) -> bool {
        std::mem::replace(&mut self.met_stranger, false)
    }

    /// Returns the members whose loads are to be forgotten since they say nothing more.
    pub fn expire(&mut self, now: Timestamp) -> Vec<net::SocketAddr> {
        let mut silent = Vec::new();
        for (address, member) in &mut self.members {
            let is_silent = member.heard.is_none_or(|heard| now.since(heard) > self.silence);
            if member.counted && is_silent {
                member.counted = false;
                silent.push(*address);
            }
        }
        silent
    }

    /// Returns the part of the members that is heard, this daemon included.
    pub fn part(&self, now: Timestamp) -> f64 {
        if !self.listed {
            return UNLISTED_PART;
        }
        let is_heard =
            |member: &&Member| member.heard.is_some_and(|heard| now.since(heard) <= self.silence);
        let heard = self.members.values().filter(is_heard).count();
        (heard + 1) as f64 / self.count() as f64
    }

    /// Returns how many members there are, this daemon included.
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// Says whether digests and offers from `address` are taken in.
    pub fn is_member(&self, address: net::SocketAddr) -> bool {
        self.members.contains_key(&address)
    }

    /// Returns the addresses of those who are told at once: all of a small system, else those of
    /// this availability zone.
    pub fn near(&self) -> Vec<net::SocketAddr> {
        self.select(true)
    }

    /// Returns the addresses of those who are told less often.
    pub fn far(&self) -> Vec<net::SocketAddr> {
        self.select(false)
    }

    /// Says whether the system is so large that other availability zones are told less often.
    pub fn is_large(&self) -> bool {
        self.count() > SMALL
    }

    fn select(&self, near: bool) -> Vec<net::SocketAddr> {
        let is_small = !self.is_large();
        let is_near = |member: &Member| is_small || member.zone.as_ref() == Some(&self.zone);
        let chosen = self.members.iter().filter(|(_, member)| is_near(member) == near);
        chosen.map(|(address, _)| *address).collect()
    }

    /// Returns the addresses of the others.
    pub fn others(&self) -> Vec<net::SocketAddr> {
        self.members.keys().copied().collect()
    }
}
