//! Which daemons place the requests of a service for all.
//!
//! Found by rendezvous hashing, so that all daemons with the same members find the same ones without a
//! word, and the loss of one moves only what it did.

use std::{net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{self, Mesh};

/// How many daemons are told of the work at a service: the one that places its requests, and the one
/// that takes over when that one is lost.
const PLACERS: usize = 2;

/// For how long a daemon is not asked that left a question unanswered; twice as long each further time, since each
/// time costs the requests that ask it a fifth of a second.
const DOUBT: time::Duration = time::Duration::from_millis(1_000);

/// How often that time doubles at most: by then the list of members names the daemon no more.
const DOUBLINGS: u32 = 2;

impl Mesh {
    /// Notes that a member did not answer, or cannot place requests.
    pub fn doubt(&mut self, now: Timestamp, address: net::SocketAddr) {
        let member = self.members.get_mut(&address);
        if let Some(member) = member.filter(|member| member.may_answer(now)) {
            member.doubted_until = Some(now + DOUBT * (1 << member.doubts.min(DOUBLINGS)));
            member.doubts += 1;
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
        let others = self.members.iter().filter(|(_, member)| member.may_answer(now));
        let others = others.map(|(address, member)| {
            let is_new = member.new_until.is_some_and(|until| now < until);
            let placing = if is_new { gateway::Placing::New } else { gateway::Placing::Able };
            (placing, member.strength, *address)
        });
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
pub(super) fn weight(seed: u64, address: net::SocketAddr) -> u64 {
    let mut bytes = [0_u8; 18];
    match address.ip() {
        net::IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        net::IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(&bytes, seed)
}
