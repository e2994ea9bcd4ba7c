//! Which other daemons there are, and what is known of them.

mod hubs;
mod placing;
mod roles;

use std::{collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;

pub use placing::Placing;

/// Follows the members and what they say.
///
/// Members come from a list that may lag. A daemon announces itself to all once when it starts and once when it
/// leaves; between that only a few, the hubs, hear from each other again and again, so that what a daemon sends and
/// takes in does not grow with the members. Whoever is listed and was not heard counts as alive until it
/// leaves a question unanswered. Whoever announces its start is a member before it is listed: of two daemons, the one
/// that was listed later finds the other, so that all that start together know each other without reading the list again
/// and again. Of others, only what listed addresses say is taken in.
#[derive(Clone, Debug)]
pub struct Mesh {
    own: net::SocketAddr,
    /// How much work for others this daemon's host can take.
    strength: gateway::Strength,
    /// Whether the store left this daemon's last call without an answer.
    unanswered: bool,
    /// How long a hub may be silent before it counts as not heard.
    silence: time::Duration,
    /// Until when this daemon's own entry surely lasts; `None` if it has none that can lapse.
    listed_until: Option<Timestamp>,
    /// When the members were listed first.
    listed: Option<Timestamp>,
    /// Whether a daemon that is not listed was heard.
    met_stranger: bool,
    /// Addresses of the others.
    members: collections::BTreeMap<net::SocketAddr, Member>,
    /// All addresses in the order in which they become hubs; follows from `members`, `own` and `strength`.
    ranked: Vec<net::SocketAddr>,
    /// Stands for the hubs; follows from `ranked`.
    hub_mark: u64,
    /// When the members last became fewer, and how many there were before.
    fallen: Option<(Timestamp, usize)>,
}

#[derive(Clone, Debug, Default)]
struct Member {
    /// The last digest's incarnation and number.
    last: Option<(u64, u64)>,
    /// When its last digest came.
    heard: Option<Timestamp>,
    /// When it last asked this daemon about the store.
    asked: Option<Timestamp>,
    /// How many daemons ask it about the store and go by the same hubs, as it said last.
    clients: u16,
    /// The mark of the hubs that it goes by, as it said last.
    hub_mark: u64,
    /// Until when it is a member though it is not listed, since it has announced its start.
    kept_until: Option<Timestamp>,
    /// Until when it counts as just started.
    new_until: Option<Timestamp>,
    /// Whether it has said that it leaves.
    leaving: bool,
    strength: gateway::Strength,
    /// Until when the store is believed to turn it away.
    turned_away_until: Option<Timestamp>,
    /// Until when it is not asked, since it left a question unanswered.
    doubted_until: Option<Timestamp>,
    /// How many questions in a row it left unanswered.
    doubts: u32,
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it is told and heard.
    pub address: net::SocketAddr,
    /// How much work for others its host can take.
    pub strength: gateway::Strength,
}

/// The part of each quota that a daemon takes that never got a list of the members.
const UNLISTED_PART: f64 = 1.0 / 32.0;

/// For how long it holds that the store turns a daemon away: it is not asked meanwhile, so that it cannot say that
/// this is over.
const TURNED_AWAY: time::Duration = time::Duration::from_millis(2_000);

/// For how long a daemon that has announced its start is a member though it is not listed: lists may be some seconds
/// old, and are read every few seconds.
const ANNOUNCED_KEPT: time::Duration = time::Duration::from_secs(10);

/// For how long members that are gone count in what is divided among all: the longest window in which that is bounded.
const LATELY: time::Duration = time::Duration::from_secs(10);

/// How many members there are at most; further ones have to be listed.
const MOST: usize = 16_384;

/// Holds what a digest adds to what was known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// What each account has used and given back since the last digest of the sender.
    pub spent: Vec<gateway::AccountSpend>,
    /// What the sender's buckets hold of accounts that it names for the first time.
    pub levels: Vec<gateway::AccountSpend>,
    /// Whether the sender's loads are to be forgotten: it leaves, or has started again.
    pub is_over: bool,
}

impl Mesh {
    /// Starts with no other member; `own` is this daemon's address for digests.
    pub fn new(own: net::SocketAddr, silence: time::Duration) -> Self {
        Self {
            own,
            strength: gateway::Strength::UNKNOWN,
            unanswered: false,
            silence,
            listed_until: None,
            listed: None,
            met_stranger: false,
            members: collections::BTreeMap::new(),
            ranked: vec![own],
            hub_mark: 0,
            fallen: None,
        }
    }

    /// Sets how much work for others this daemon's host can take.
    #[must_use]
    pub fn with_strength(mut self, strength: gateway::Strength) -> Self {
        self.strength = strength;
        self
    }

    /// Returns how much work for others this daemon's host can take.
    pub const fn strength(&self) -> gateway::Strength {
        self.strength
    }

    /// Notes that this daemon's own entry lasts until `until` at least.
    pub fn note_entry(&mut self, until: Timestamp) {
        self.listed_until = self.listed_until.max(Some(until));
    }

    /// Says whether this daemon is sure to be a member for all.
    ///
    /// Where its entry may have lapsed, the others may have divided its parts among themselves.
    pub fn is_listed(&self, now: Timestamp) -> bool {
        self.listed_until.is_none_or(|until| now < until)
    }

    /// Notes whether the store has answered this daemon's last call; says whether that has changed.
    pub const fn note_answer(&mut self, is_answered: bool) -> bool {
        std::mem::replace(&mut self.unanswered, !is_answered) == is_answered
    }

    /// Says whether the store left this daemon's last call without an answer.
    pub const fn is_unanswered(&self) -> bool {
        self.unanswered
    }

    /// Notes whether the store has answered a member's last call, as it said in reply to a question.
    pub fn note_member_answer(&mut self, now: Timestamp, from: net::SocketAddr, is_answered: bool) {
        if let Some(member) = self.members.get_mut(&from) {
            member.turned_away_until = (!is_answered).then(|| now + TURNED_AWAY);
        }
    }

    /// Returns this daemon's address for digests.
    pub const fn own(&self) -> net::SocketAddr {
        self.own
    }

    /// Takes in the list of members and returns those that are gone from it.
    pub fn replace(&mut self, now: Timestamp, list: &[Peer]) -> Vec<net::SocketAddr> {
        let before = self.count_lately(now);
        let listed: collections::BTreeSet<_> = list.iter().map(|peer| peer.address).collect();
        let is_gone = |(address, member): &(&net::SocketAddr, &Member)| {
            !listed.contains(address) && member.kept_until.is_none_or(|until| now >= until)
        };
        let gone = self.members.iter().filter(is_gone).map(|(address, _)| *address);
        let gone: Vec<_> = gone.collect();
        for address in &gone {
            self.members.remove(address);
        }
        self.extend(now, list);
        if self.count() < before {
            self.fallen = Some((now, before));
        }
        gone
    }

    /// Takes in a list of members in which some may be missing that are alive.
    pub fn extend(&mut self, now: Timestamp, list: &[Peer]) {
        self.listed.get_or_insert(now);
        for peer in list.iter().filter(|peer| peer.address != self.own) {
            self.members.entry(peer.address).or_default().strength = peer.strength;
        }
        self.rank();
    }

    /// Takes in a digest; `None` if it is from a stranger or older than another.
    pub fn note(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        digest: &gateway::Digest,
    ) -> Option<News> {
        if digest.starting {
            self.admit(from, digest.strength);
        }
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
        if digest.starting {
            member.kept_until = Some(now + ANNOUNCED_KEPT);
            member.new_until = Some(now + placing::NEW);
            member.settle_doubt();
        }
        member.last = Some((digest.incarnation, digest.number));
        member.heard = (!digest.leaving).then_some(now);
        member.leaving = digest.leaving;
        member.turned_away_until = digest.unanswered.then(|| now + TURNED_AWAY);
        member.clients = digest.clients;
        member.hub_mark = digest.hub_mark;
        let is_over = digest.leaving || (digest.starting && !is_same);
        let mut news = News { is_over, ..News::default() };
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

    /// Takes a daemon that announces its start for a member.
    fn admit(&mut self, from: net::SocketAddr, strength: gateway::Strength) {
        if from == self.own || self.members.contains_key(&from) || self.members.len() >= MOST {
            return;
        }
        self.members.insert(from, Member { strength, ..Member::default() });
        self.rank();
    }

    /// Notes that a daemon has replied to something, or that one which is not listed says something.
    ///
    /// What a daemon says unasked does not show that it replies: it may be too busy for that.
    pub fn hear(&mut self, from: net::SocketAddr) {
        match self.members.get_mut(&from) {
            Some(member) => member.settle_doubt(),
            None => self.met_stranger = true,
        }
    }

    /// Says whether a daemon that is not listed was heard since the last call: the list is too old.
    pub const fn take_stranger(&mut self) -> bool {
        std::mem::replace(&mut self.met_stranger, false)
    }

    /// Returns how many members there are, this daemon included.
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns how many members there were at most of late.
    ///
    /// What is divided among the members may not be divided anew at once when there are fewer: those that are gone
    /// have used their parts.
    pub fn count_lately(&self, now: Timestamp) -> usize {
        let fallen = self.fallen.filter(|(at, _)| now.since(*at) <= LATELY);
        fallen.map_or(0, |(_, before)| before).max(self.count())
    }

    /// Returns the fraction of an equally divided limit that this daemon may use.
    ///
    /// The fraction is 0 if the daemon has read no list of members, because it would count only
    /// itself and use the whole limit. It is also 0 if the daemon's entry may have lapsed, because
    /// the other members may have divided its share among themselves.
    pub fn equal_share(&self, now: Timestamp) -> f64 {
        if self.listed.is_none() || !self.is_listed(now) {
            return 0.0;
        }
        1.0 / self.count_lately(now) as f64
    }

    /// Says whether messages from `address` are taken in.
    pub fn is_member(&self, address: net::SocketAddr) -> bool {
        self.members.contains_key(&address)
    }

    /// Returns the addresses of the others.
    pub fn others(&self) -> Vec<net::SocketAddr> {
        self.members.keys().copied().collect()
    }
}

impl Member {
    /// Forgets the doubts: the member has replied, or has started again.
    const fn settle_doubt(&mut self) {
        self.doubted_until = None;
        self.doubts = 0;
    }

    /// Says whether a digest of the member came in the last `silence`.
    fn is_heard(&self, now: Timestamp, silence: time::Duration) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) <= silence)
    }

    /// Says whether the member may be asked something.
    fn may_answer(&self, now: Timestamp) -> bool {
        !self.leaving && self.doubted_until.is_none_or(|until| now >= until)
    }
}
