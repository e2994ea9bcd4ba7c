//! The placers: the daemons that place the requests of a service on behalf of all daemons.
//!
//! They are found by rendezvous hashing, so that all daemons with the same members find the same
//! placers without exchanging messages, and the loss of one placer moves only its services.

use std::{net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{self, Mesh};

/// The number of daemons that receive the load reports of a service: the one that places its
/// requests, and the one that takes over if the first is lost.
const PLACER_COUNT: usize = 2;

/// How long a daemon is not queried after it left a query unanswered. The time doubles with each
/// further unanswered query, since each one delays the waiting requests by a fifth of a second.
const BASE_BACKOFF: time::Duration = time::Duration::from_millis(1_000);

/// The maximum number of times that the backoff doubles; by then the list of members no longer
/// names the daemon.
const MAX_DOUBLINGS: u32 = 2;

impl Mesh {
    /// Records that a member did not answer, or cannot place requests.
    pub fn record_timeout(&mut self, now: Timestamp, address: net::SocketAddr) {
        let member = self.members.get_mut(&address);
        if let Some(member) = member.filter(|member| member.may_answer(now)) {
            member.backoff_until =
                Some(now + BASE_BACKOFF * (1 << member.timeouts.min(MAX_DOUBLINGS)));
            member.timeouts += 1;
        }
    }

    /// Returns whether a member is not queried only because it left a query unanswered.
    pub fn is_backed_off(&self, now: Timestamp, address: net::SocketAddr) -> bool {
        let member = self.members.get(&address);
        member.is_some_and(|member| !member.leaving && !member.may_answer(now))
    }

    /// Returns the daemons that may place the requests of `service`: the current placer, its
    /// successor, and a recently started daemon that will become the placer.
    ///
    /// They are found by rendezvous hashing, so that all daemons with the same members find the
    /// same placer, and the loss of one daemon moves only its own services. Daemons that have just
    /// started come last. Strong hosts come before weak ones, which have enough to do with their
    /// own requests. `own` is the ability of this daemon. The list is never empty: a daemon that
    /// hears no other daemon places its own requests.
    pub fn placers(
        &self,
        now: Timestamp,
        service: &id::PoolName,
        own: gateway::PlacingAbility,
    ) -> Vec<net::SocketAddr> {
        let others = self.members.iter().filter(|(_, member)| member.may_answer(now));
        let others = others.map(|(address, member)| {
            let is_new = member.new_until.is_some_and(|until| now < until);
            let placing =
                if is_new { gateway::PlacingAbility::New } else { gateway::PlacingAbility::Able };
            (placing, member.strength, *address)
        });
        let all = others.chain([(own, self.strength, self.own)]);
        let able = all.filter(|(placing, ..)| *placing != gateway::PlacingAbility::Unable);
        let seed = xxhash_rust::xxh3::xxh3_64(service.as_str().as_bytes());
        let mut found = Vec::with_capacity(PLACER_COUNT + 1);
        let mut heaviest = None;
        for (placing, strength, address) in able {
            let fitness = (strength, weight(seed, address));
            let rank = (placing, fitness);
            if heaviest.is_none_or(|(most, _)| fitness > most) {
                heaviest = Some((fitness, address));
            }
            let place = found.partition_point(|(before, _)| *before > rank);
            found.insert(place, (rank, address));
            found.truncate(PLACER_COUNT);
        }
        let mut placers: Vec<_> = found.into_iter().map(|(_, address)| address).collect();
        let next = heaviest.map_or(self.own, |(_, address)| address);
        if !placers.contains(&next) {
            placers.push(next);
        }
        placers
    }
}

/// Returns the weight of a daemon in the rendezvous hashing for `seed`, a hash of the name of the
/// service or account.
pub(super) fn weight(seed: u64, address: net::SocketAddr) -> u64 {
    let mut bytes = [0_u8; 18];
    match address.ip() {
        net::IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        net::IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(&bytes, seed)
}
