//! The hubs: a few daemons that exchange messages regularly.
//!
//! Some of the hubs read the store on behalf of all daemons, and together the hubs keep the token
//! buckets of all quotas. Each daemon determines the hubs from the strength of the hosts and by
//! hashing, so that daemons with the same members find the same hubs without exchanging messages.

use std::{net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{self, Mesh, mesh};

/// The minimum number of hubs; two of them may be lost or cut off.
const MIN_HUBS: usize = 3;

/// The number of daemons per hub.
const DAEMONS_PER_HUB: usize = 32;

/// The minimum number of daemons that read the store. One of them may be lost, and a daemon that
/// finds no reader that replies reads the store itself.
const MIN_READERS: usize = 2;

/// The number of daemons per reader.
///
/// At two queries per second from each daemon, a reader answers about 128 datagrams per second.
/// With one exact list of members per start, this number of readers took 4,656 calls to the store
/// on a calm day of 295 daemons. One reader for 32 daemons, together with repeated reads of the
/// lists, took 5,374.
const DAEMONS_PER_READER: usize = 64;

/// The number of hubs that keep the bucket of an account: one that is asked, and one that takes
/// over if the first is lost.
const KEEPER_COUNT: usize = 2;

/// How long a daemon that queries a hub about the store every 450 ms may be silent before the hub
/// no longer counts it as heard; two lost queries in a row exceed this time.
const CLIENT_TIMEOUT: time::Duration = time::Duration::from_millis(1_300);

/// How long after its start a daemon may not have heard of other daemons that are alive: they first
/// have to read the store once and query a hub.
const SETTLING_TIME: time::Duration = time::Duration::from_millis(600);

/// How long after its start a daemon does not know what other daemons have granted.
const YOUNG_AGE: time::Duration = time::Duration::from_secs(5);

impl Mesh {
    /// Updates the order in which daemons become hubs. Daemons on strong hosts come first, because
    /// they have capacity to spare.
    pub(super) fn update_ranking(&mut self) {
        let others = self.members.iter().map(|(address, member)| (member.strength, *address));
        let mut all: Vec<_> = others.chain([(self.strength, self.own)]).collect();
        all.sort_by_cached_key(|(strength, address)| {
            (std::cmp::Reverse(*strength), mesh::placers::weight(0, *address))
        });
        self.ranked = all.into_iter().map(|(_, address)| address).collect();
        self.hub_hash = self.hubs().iter().fold(0, |hash, hub| mesh::placers::weight(hash, *hub));
        self.hub_hash = self.hub_hash.max(1);
    }

    /// Returns a hash of the hubs, the same for all daemons that use the same hubs; never 0.
    pub const fn hub_hash(&self) -> u64 {
        self.hub_hash
    }

    fn hub_count(&self) -> usize {
        MIN_HUBS.max(self.count() / DAEMONS_PER_HUB).min(self.ranked.len())
    }

    /// Returns the hubs, including this daemon if it is a hub.
    pub fn hubs(&self) -> &[net::SocketAddr] {
        &self.ranked[..self.hub_count()]
    }

    /// Returns the daemons that read the store on behalf of all daemons.
    ///
    /// They are the first daemons in the order of the hubs, but daemons that get no answer from the
    /// store come last. If the store rejects a third of the hosts and these happen to include all
    /// hubs, all other daemons would otherwise continue with removed entries for seconds.
    ///
    /// Every daemon determines the readers from its own knowledge. If that differs between daemons,
    /// there are a few more readers for a while, or a daemon is queried that has to query a reader
    /// itself. Replies state the age of the data in either case.
    pub fn readers(&self, now: Timestamp) -> Vec<net::SocketAddr> {
        self.readers_if(now, self.is_unanswered())
    }

    /// Returns whether this daemon would read the store on behalf of all daemons if the store
    /// answered its calls for the configuration.
    pub(super) fn is_reader_if_answered(&self, now: Timestamp) -> bool {
        self.readers_if(now, false).contains(&self.own)
    }

    /// Returns the readers, given whether this daemon itself lacks an answer of the store.
    fn readers_if(&self, now: Timestamp, own_lacks_store: bool) -> Vec<net::SocketAddr> {
        let is_served = |address: net::SocketAddr| match address == self.own {
            true => !own_lacks_store,
            false => !self.lacks_store(now, address),
        };
        let (served, unserved): (Vec<_>, Vec<_>) =
            self.ranked.iter().partition(|address| is_served(**address));
        let count = MIN_READERS.max(self.count() / DAEMONS_PER_READER);
        served.into_iter().chain(unserved).take(count).collect()
    }

    fn lacks_store(&self, now: Timestamp, address: net::SocketAddr) -> bool {
        let until = self.members.get(&address).and_then(|member| member.unanswered_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns whether this daemon reads the store on behalf of all daemons.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        self.members.is_empty() || self.readers(now).contains(&self.own)
    }

    /// Returns the other readers in the order in which this daemon queries them.
    ///
    /// Each daemon begins with a different reader, so that the daemons are spread evenly over the
    /// readers. Readers that left a query unanswered come last.
    pub fn readers_to_ask(&self, now: Timestamp) -> Vec<net::SocketAddr> {
        let mut readers = self.readers(now);
        readers.retain(|reader| *reader != self.own);
        let seed = mesh::placers::weight(0, self.own);
        readers.sort_by_cached_key(|reader| {
            let may_answer = self.members.get(reader).is_some_and(|member| member.may_answer(now));
            (!may_answer, mesh::placers::weight(seed, *reader))
        });
        readers
    }

    /// Returns the daemons to which this daemon regularly reports its state: the other hubs and
    /// readers if it is a hub or reader itself, otherwise none.
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

    /// Returns the hubs that keep the bucket of an account, in the order in which they are asked,
    /// including this daemon if it is a keeper.
    ///
    /// The keepers do not depend on which hubs answer, because the bucket of an account must not
    /// exist at more and more daemons.
    pub fn keepers(&self, account: &id::AccountName) -> Vec<net::SocketAddr> {
        let seed = xxhash_rust::xxh3::xxh3_64(account.as_str().as_bytes());
        let mut hubs = self.hubs().to_vec();
        hubs.sort_by_cached_key(|hub| std::cmp::Reverse(mesh::placers::weight(seed, *hub)));
        hubs.truncate(KEEPER_COUNT);
        hubs
    }

    /// Returns the first `count` of the other daemons that keep the version of a stream, by rendezvous
    /// hashing over all members that do not leave: any two daemons find keepers in common.
    pub fn stream_keepers(&self, stream: gateway::StreamId, count: usize) -> Vec<net::SocketAddr> {
        let mut keepers: Vec<_> = self.keeper_ranks(stream).collect();
        keepers.sort_unstable_by(|a, b| b.cmp(a));
        keepers.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Returns whether another daemon is one of the first `count` keepers of a stream.
    pub fn keeps_stream(
        &self,
        stream: gateway::StreamId,
        address: net::SocketAddr,
        count: usize,
    ) -> bool {
        let is_member = self.members.get(&address).is_some_and(|member| !member.leaving);
        is_member && self.count_above(stream, address, count) < count
    }

    /// Returns whether `address`, which need not be a member, would be one of the keepers of a stream.
    pub fn outranks_keepers(&self, stream: gateway::StreamId, address: net::SocketAddr) -> bool {
        let count = gateway::STREAM_KEEPERS;
        self.count_above(stream, address, count) < count
    }

    /// Counts the keepers of a stream that come before `address`, up to `most`.
    fn count_above(
        &self,
        stream: gateway::StreamId,
        address: net::SocketAddr,
        most: usize,
    ) -> usize {
        let rank = keeper_rank(stream, address);
        self.keeper_ranks(stream).filter(|other| *other > rank).take(most).count()
    }

    fn keeper_ranks(
        &self,
        stream: gateway::StreamId,
    ) -> impl Iterator<Item = (u64, net::SocketAddr)> {
        let present = self.members.iter().filter(|(_, member)| !member.leaving);
        present.map(move |(address, _)| keeper_rank(stream, *address))
    }

    /// Returns the hash of the hubs that this daemon reports to others, or 0 if it may no longer be
    /// a member.
    ///
    /// Other daemons then do not count a daemon whose fraction may already have been given to
    /// others.
    pub fn reported_hub_hash(&self, now: Timestamp) -> u64 {
        if self.is_listed(now) { self.hub_hash } else { 0 }
    }

    /// Returns whether this daemon keeps the bucket of an account.
    pub fn keeps(&self, account: &id::AccountName) -> bool {
        self.keepers(account).contains(&self.own)
    }

    /// Returns whether a daemon may be queried, that is, whether it has not recently left a query
    /// unanswered.
    pub fn may_answer(&self, now: Timestamp, address: net::SocketAddr) -> bool {
        self.members.get(&address).is_some_and(|member| member.may_answer(now))
    }

    /// Records that a member that uses the hubs with the hash `hub_hash` queries this daemon about
    /// the store.
    pub fn note_client(&mut self, now: Timestamp, from: net::SocketAddr, hub_hash: u64) {
        if let Some(member) = self.members.get_mut(&from) {
            member.asked_at = Some(now);
            member.hub_hash = hub_hash;
        }
    }

    /// Records that a member uses the hubs with the hash `hub_hash`.
    pub fn note_hub_hash(&mut self, from: net::SocketAddr, hub_hash: u64) {
        if let Some(member) = self.members.get_mut(&from) {
            member.hub_hash = hub_hash;
        }
    }

    /// Returns the number of members that query this daemon about the store, use the same hubs and
    /// are not hubs themselves.
    pub fn clients(&self, now: Timestamp) -> u16 {
        let hubs = self.hubs();
        let is_client = |(address, member): &(&net::SocketAddr, &mesh::Member)| {
            member.asked_at.is_some_and(|at| now.since(at) <= CLIENT_TIMEOUT)
                && member.hub_hash == self.hub_hash
                && !hubs.contains(address)
        };
        u16::try_from(self.members.iter().filter(is_client).count()).unwrap_or(u16::MAX)
    }

    /// Returns the fraction of the members that use the same hubs and are heard by this daemon, or
    /// by hubs that this daemon hears; includes this daemon.
    ///
    /// Daemons read the list of members seconds apart. Until all of them know which members are
    /// gone, some ask other keepers than the rest. Each keeper grants the fraction of the daemons
    /// that ask it, so that all keepers together grant no more than the whole quota.
    pub fn part(&self, now: Timestamp) -> f64 {
        if self.listed_at.is_none() {
            return mesh::UNLISTED_FRACTION;
        }
        let reported =
            self.hub_peers(now).into_iter().filter_map(|address| self.members.get(&address));
        let reported: usize = reported
            .filter(|m| m.is_heard(now, self.silence_limit) && m.hub_hash == self.hub_hash)
            .map(|m| 1 + usize::from(m.clients))
            .sum();
        let heard = 1 + reported + usize::from(self.clients(now));
        (heard as f64 / self.count() as f64).min(1.0)
    }

    /// Returns the part of an account's quota that this daemon may grant on behalf of all daemons.
    ///
    /// This is the fraction of the members that are heard, because members that are cut off
    /// continue with their own part.
    ///
    /// The first keeper counts all members as heard while they had no time to send anything: after
    /// a power failure of all daemons, keepers that heard nobody refused 60 of 300 requests that
    /// were within their quotas in the first two seconds. While the second keeper hears the first
    /// one, which refills too, it grants no more than its bucket holds, because the daemons that
    /// ask it have only lost their connection to the first keeper. A first keeper that uses other
    /// hubs, or that may no longer be listed, grants nothing to these daemons.
    pub fn quota_part(&self, now: Timestamp, account: &id::AccountName) -> gateway::QuotaPart {
        let keepers = self.keepers(account);
        let is_first = keepers.first() == Some(&self.own);
        let has_settled = self.listed_at.is_none_or(|at| now.since(at) > SETTLING_TIME);
        if is_first && !has_settled {
            return gateway::QuotaPart::equal(1.0);
        }
        let part = gateway::QuotaPart::equal(self.part(now));
        let first = keepers.first().and_then(|first| self.members.get(first));
        let gives = |first: &mesh::Member| {
            first.is_heard(now, self.silence_limit) && first.hub_hash == self.hub_hash
        };
        if !is_first && first.is_some_and(gives) {
            return gateway::QuotaPart { rate: 0.0, ..part };
        }
        part
    }

    /// Returns whether this daemon has known the members for a short time only.
    pub fn is_young(&self, now: Timestamp) -> bool {
        self.listed_at.is_none_or(|at| now.since(at) < YOUNG_AGE)
    }

    /// Returns the part of each quota that a daemon uses on its own if it reaches none of the
    /// keepers: the quota divided equally among the members.
    pub fn equal_part(&self) -> gateway::QuotaPart {
        let count = self.listed_at.map(|_| self.count() as f64);
        gateway::QuotaPart::equal(count.map_or(mesh::UNLISTED_FRACTION, f64::recip))
    }
}

/// Returns the rank of a daemon among the keepers of a stream; the highest comes first.
fn keeper_rank(stream: gateway::StreamId, address: net::SocketAddr) -> (u64, net::SocketAddr) {
    (mesh::placers::weight(stream.as_u64(), address), address)
}
