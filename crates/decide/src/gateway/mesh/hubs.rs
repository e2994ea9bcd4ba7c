//! The few daemons that hear from each other all the time.
//!
//! They read the store for all, and between them they keep the buckets of all quotas. Found by the strength of their
//! hosts and by hashing, so that all daemons with the same members find the same ones without a word.

use std::{net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{self, Mesh, mesh};

/// How many hubs there are at least: two may be lost or cut off.
const LEAST: usize = 3;

/// For how many daemons there is one.
const DAEMONS_EACH: usize = 32;

/// How many daemons read the store at least: one may be lost, and who finds none that replies reads it itself.
const LEAST_READERS: usize = 2;

/// For how many daemons one reads it. At two questions a second each, answering takes a reader about 128 datagrams
/// a second. Together with one exact list of members a start, it took 4,656 calls on a calm day of 295 daemons; one reader
/// for 32 of them and lists that were read again took 5,374.
const DAEMONS_A_READER: usize = 64;

/// How many hubs keep the bucket of an account: one that is asked, and one that takes over when it is lost.
const KEEPERS: usize = 2;

/// After how long a daemon counts as not heard that asks a hub about the store each 450 ms: two questions lost.
const CLIENT_SILENCE: time::Duration = time::Duration::from_millis(1_300);

/// For how long after its start a daemon may not have heard of others that live: until they have read the store
/// once and asked a hub.
const SETTLING: time::Duration = time::Duration::from_millis(600);

/// For how long after its start a daemon does not know what others have given.
const YOUNG: time::Duration = time::Duration::from_secs(5);

impl Mesh {
    /// Works out the order in which daemons become hubs: those on strong hosts first, which have work to spare.
    pub(super) fn rank(&mut self) {
        let others = self.members.iter().map(|(address, member)| (member.strength, *address));
        let mut all: Vec<_> = others.chain([(self.strength, self.own)]).collect();
        all.sort_by_cached_key(|(strength, address)| {
            (std::cmp::Reverse(*strength), mesh::roles::weight(0, *address))
        });
        self.ranked = all.into_iter().map(|(_, address)| address).collect();
        self.hub_mark = self.hubs().iter().fold(0, |mark, hub| mesh::roles::weight(mark, *hub));
        self.hub_mark = self.hub_mark.max(1);
    }

    /// Returns a number that is the same for daemons which go by the same hubs; not 0.
    pub const fn hub_mark(&self) -> u64 {
        self.hub_mark
    }

    fn hub_count(&self) -> usize {
        LEAST.max(self.count() / DAEMONS_EACH).min(self.ranked.len())
    }

    /// Returns the hubs, this daemon included if it is one.
    pub fn hubs(&self) -> &[net::SocketAddr] {
        &self.ranked[..self.hub_count()]
    }

    /// Returns the daemons that read the store for all.
    ///
    /// They are the first of the hubs, but those that the store turns away come last: where it turns away a third of
    /// the hosts, and by chance all hubs among them, everybody else would go on with what was removed for seconds.
    ///
    /// Every daemon works them out from what it knows. Where that differs, there are some more
    /// readers for a while, or somebody is asked who has to ask himself; ages are told either way.
    pub fn readers(&self, now: Timestamp) -> Vec<net::SocketAddr> {
        let (answered, unanswered): (Vec<_>, Vec<_>) =
            self.ranked.iter().partition(|address| !self.is_turned_away(now, **address));
        let count = LEAST_READERS.max(self.count() / DAEMONS_A_READER);
        answered.into_iter().chain(unanswered).take(count).collect()
    }

    fn is_turned_away(&self, now: Timestamp, address: net::SocketAddr) -> bool {
        if address == self.own {
            return self.unanswered;
        }
        let until = self.members.get(&address).and_then(|member| member.turned_away_until);
        until.is_some_and(|until| now < until)
    }

    /// Says whether this daemon reads the store for all.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        self.members.is_empty() || self.readers(now).contains(&self.own)
    }

    /// Returns the readers but this daemon in the order in which it asks them.
    ///
    /// Each daemon begins with another one, so that each reader answers its part of them. Those that left a question
    /// unanswered come last.
    pub fn readers_to_ask(&self, now: Timestamp) -> Vec<net::SocketAddr> {
        let mut readers = self.readers(now);
        readers.retain(|reader| *reader != self.own);
        let seed = mesh::roles::weight(0, self.own);
        readers.sort_by_cached_key(|reader| {
            let may_answer = self.members.get(reader).is_some_and(|member| member.may_answer(now));
            (!may_answer, mesh::roles::weight(seed, *reader))
        });
        readers
    }

    /// Returns whom this daemon tells again and again of itself: the other hubs and readers, if it is one of them.
    pub fn hub_peers(&self, now: Timestamp) -> Vec<net::SocketAddr> {
        let mut peers = self.readers(now);
        let hubs = self.hubs().iter().filter(|hub| !peers.contains(hub)).copied();
        peers.extend(hubs.collect::<Vec<_>>());
        if !peers.contains(&self.own) {
            return Vec::new();
        }
        peers.retain(|address| *address != self.own);
        peers
    }

    /// Returns the hubs that keep the bucket of an account, in the order in which they are asked, this daemon
    /// included if it is one.
    ///
    /// They do not depend on who answers: the bucket of an account must not be found at ever more daemons.
    pub fn keepers(&self, account: &id::AccountName) -> Vec<net::SocketAddr> {
        let seed = xxhash_rust::xxh3::xxh3_64(account.as_str().as_bytes());
        let mut hubs = self.hubs().to_vec();
        hubs.sort_by_cached_key(|hub| std::cmp::Reverse(mesh::roles::weight(seed, *hub)));
        hubs.truncate(KEEPERS);
        hubs
    }

    /// Returns what this daemon tells others of the hubs that it goes by: nothing unless it is sure to be a member, so that
    /// nobody counts it who has its part already.
    pub fn told_hub_mark(&self, now: Timestamp) -> u64 {
        if self.is_listed(now) { self.hub_mark } else { 0 }
    }

    /// Says whether this daemon keeps the bucket of an account.
    pub fn keeps(&self, account: &id::AccountName) -> bool {
        self.keepers(account).contains(&self.own)
    }

    /// Says whether a daemon may be asked something: it has not just left a question unanswered.
    pub fn may_answer(&self, now: Timestamp, address: net::SocketAddr) -> bool {
        self.members.get(&address).is_some_and(|member| member.may_answer(now))
    }

    /// Notes that a member which goes by the hubs with the mark `hub_mark` asks this daemon about the store.
    pub fn note_client(&mut self, now: Timestamp, from: net::SocketAddr, hub_mark: u64) {
        if let Some(member) = self.members.get_mut(&from) {
            member.asked = Some(now);
            member.hub_mark = hub_mark;
        }
    }

    /// Notes that a member goes by the hubs with the mark `hub_mark`.
    pub fn note_hub_mark(&mut self, from: net::SocketAddr, hub_mark: u64) {
        if let Some(member) = self.members.get_mut(&from) {
            member.hub_mark = hub_mark;
        }
    }

    /// Returns how many members ask this daemon about the store that go by the same hubs and are none themselves.
    pub fn clients(&self, now: Timestamp) -> u16 {
        let hubs = self.hubs();
        let is_client = |(address, member): &(&net::SocketAddr, &mesh::Member)| {
            member.asked.is_some_and(|asked| now.since(asked) <= CLIENT_SILENCE)
                && member.hub_mark == self.hub_mark
                && !hubs.contains(address)
        };
        u16::try_from(self.members.iter().filter(is_client).count()).unwrap_or(u16::MAX)
    }

    /// Returns the part of the members that go by the same hubs and that this daemon hears, or the hubs hear which it
    /// hears; itself included.
    ///
    /// Daemons read the list of members seconds apart. Until all know who is gone, some ask other keepers than the rest, and
    /// each keeper gives the part of those that ask it: together no more than the whole.
    pub fn part(&self, now: Timestamp) -> f64 {
        if self.listed.is_none() {
            return mesh::UNLISTED_PART;
        }
        let told = self.hub_peers(now).into_iter().filter_map(|address| self.members.get(&address));
        let told: usize = told
            .filter(|m| m.is_heard(now, self.silence) && m.hub_mark == self.hub_mark)
            .map(|m| 1 + usize::from(m.clients))
            .sum();
        let heard = 1 + told + usize::from(self.clients(now));
        (heard as f64 / self.count() as f64).min(1.0)
    }

    /// Returns which part of an account's quota this daemon may give for all: that of the members which are heard,
    /// since whoever is cut off goes on with its own part.
    ///
    /// The first keeper counts all as heard while they had no time to say anything: after all daemons had lost power,
    /// keepers that heard nobody refused 60 of 300 requests that were within their quotas in the first two seconds.
    /// The second keeper gives no more than its bucket holds for as long as it hears the first one, which refills too:
    /// those that ask it have lost the way there. A first one that goes by other hubs, or may not be listed any more, gives
    /// nothing to them.
    pub fn quota_part(&self, now: Timestamp, account: &id::AccountName) -> gateway::QuotaPart {
        let keepers = self.keepers(account);
        let is_first = keepers.first() == Some(&self.own);
        let has_settled = self.listed.is_none_or(|listed| now.since(listed) > SETTLING);
        if is_first && !has_settled {
            return gateway::QuotaPart::equal(1.0);
        }
        let part = gateway::QuotaPart::equal(self.part(now));
        let first = keepers.first().and_then(|first| self.members.get(first));
        let gives = |first: &mesh::Member| {
            first.is_heard(now, self.silence) && first.hub_mark == self.hub_mark
        };
        if !is_first && first.is_some_and(gives) {
            return gateway::QuotaPart { rate: 0.0, ..part };
        }
        part
    }

    /// Says whether this daemon has known the members for a short time only.
    pub fn is_young(&self, now: Timestamp) -> bool {
        self.listed.is_none_or(|listed| now.since(listed) < YOUNG)
    }

    /// Returns the part of each quota that a daemon takes which reaches none of its keepers: its equal part.
    pub fn equal_part(&self) -> gateway::QuotaPart {
        let count = self.listed.map(|_| self.count() as f64);
        gateway::QuotaPart::equal(count.map_or(mesh::UNLISTED_PART, f64::recip))
    }
}
