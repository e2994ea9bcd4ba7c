//! Which daemons do something for all: those that read the store, and those that place requests.
//!
//! Found by rendezvous hashing, so that all daemons with the same members find the same ones without a
//! word, and the loss of one moves only what it did.

use std::{net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{self, Mesh, mesh::Member};

/// How many daemons read the store at least: two may be lost or cut off.
const LEAST_READERS: usize = 3;

/// For how many daemons one reads it. At two queries a second each, answering takes a reader
/// about 64 datagrams a second.
const DAEMONS_EACH: usize = 32;

/// How many daemons are told of the work at a service: the one that places its requests, and the one
/// that takes over when that one is lost.
const PLACERS: usize = 2;

/// For how long a daemon is not asked that left a question unanswered: until its silence would be
/// noticed by everyone, or it has come back.
const DOUBT: time::Duration = time::Duration::from_millis(1_000);

impl Mesh {
    /// Returns the daemons that read the store for all, in the order in which to ask them.
    ///
    /// Every daemon works them out from its own list. Where lists differ, there are some more
    /// readers for a while, or somebody is asked who has to ask himself; ages are told either way.
    ///
    /// Those that the store turns away come last: where it turns away a third of the hosts, and by chance all
    /// three readers among them, everybody else would go on with what was removed for seconds.
    pub fn readers(&self) -> Vec<net::SocketAddr> {
        let others = self.members.iter().map(|(address, member)| (member.unanswered, *address));
        let mut all: Vec<_> = others.chain([(self.unanswered, self.own)]).collect();
        all.sort_by_cached_key(|(unanswered, address)| {
            (*unanswered, xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes()))
        });
        all.truncate(LEAST_READERS.max(self.count() / DAEMONS_EACH));
        all.into_iter().map(|(_, address)| address).collect()
    }

    /// Says whether this daemon reads the store for all.
    pub fn is_reader(&self) -> bool {
        self.members.is_empty() || self.readers().contains(&self.own)
    }

    /// Notes that a member did not answer, or cannot place requests.
    pub fn doubt(&mut self, now: Timestamp, address: net::SocketAddr) {
        if let Some(member) = self.members.get_mut(&address) {
            member.doubted_until = Some(now + DOUBT);
        }
    }

    /// Returns the daemons that may place the requests of `service`: the one that does so, the one that
    /// takes over when it is lost, and a new one that is about to.
    ///
    /// Found by rendezvous hashing, so that all daemons with the same members find the same one, and
    /// that the loss of one moves only its own services. Those that have just started come last, and
    /// strong hosts before weak ones, which have enough to do with their own requests.
    /// `own` says whether this daemon can. Never empty: who hears nobody places its own.
    pub fn placers(
        &self,
        now: Timestamp,
        service: &id::PoolName,
        own: gateway::Placing,
    ) -> Vec<net::SocketAddr> {
        let is_asked = |member: &Member| {
            let is_heard = member.heard.is_some_and(|heard| now.since(heard) <= self.silence);
            is_heard && member.doubted_until.is_none_or(|until| now >= until)
        };
        let others = self.members.iter().filter(|(_, member)| is_asked(member));
        let others = others.map(|(address, member)| (member.placing, member.strength, *address));
        let all = others.chain([(own, self.strength, self.own)]);
        let able = all.filter(|(placing, ..)| *placing != gateway::Placing::Unable);
        let seed = xxhash_rust::xxh3::xxh3_64(service.as_str().as_bytes());
        let mut found = Vec::with_capacity(PLACERS + 1);
        let mut heaviest = None;
        for (placing, strength, address) in able {
            let fitness = (strength, weight(seed, address));
            let rank = (placing, fitness);
            if heaviest.is_none_or(|(most, _)| fitness > most) {
                heaviest = Some((fitness, address));
            }
            let place = found.partition_point(|(before, _)| *before > rank);
            found.insert(place, (rank, address));
            found.truncate(PLACERS);
        }
        let mut placers: Vec<_> = found.into_iter().map(|(_, address)| address).collect();
        let next = heaviest.map_or(self.own, |(_, address)| address);
        if !placers.contains(&next) {
            placers.push(next);
        }
        placers
    }
}

/// Returns how high a daemon stands among those that may place the requests of a service, whose name
/// is hashed to `seed`.
fn weight(seed: u64, address: net::SocketAddr) -> u64 {
    let mut bytes = [0_u8; 18];
    match address.ip() {
        net::IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        net::IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(&bytes, seed)
}
