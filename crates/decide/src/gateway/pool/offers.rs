//! Handing a slot that has become free to the daemon that needs it most.

use std::{net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{Demand, Grant, Pool, Ticket};

/// How long an offered slot is kept free: the way there, and the digest that tells of its use.
const KEPT: time::Duration = time::Duration::from_millis(100);

/// How many waiting requests are looked at for one slot.
const CANDIDATES: usize = 8;

/// A slot that is offered to another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The daemon.
    pub peer: net::SocketAddr,
    /// Where the slot is.
    pub endpoint: id::EndpointName,
}

/// An offer that has not lapsed.
#[derive(Clone, Debug)]
pub(super) struct Kept {
    until: Timestamp,
    endpoint: id::EndpointName,
}

impl Pool {
    /// Offers a slot that has become free to another daemon if more urgent requests wait there.
    ///
    /// The load that this answers: all slots taken, and requests waiting at several daemons. If a
    /// free slot were told to all of them, each would take it, and the engine would queue what has
    /// waited long enough. One who was offered it knows that nobody else was.
    pub(super) fn offer(&mut self, now: Timestamp, name: &id::EndpointName) {
        let Some((class, peer)) = self.peers.neediest() else { return };
        if self.queue.first_class().is_some_and(|own| own <= class) {
            return;
        }
        let rank = u8::try_from(class / 2).unwrap_or(u8::MAX);
        if self.free(now) <= self.reserve(now, rank) {
            return;
        }
        let others = self.others(name).running;
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        // Several daemons may have taken the same slot; what has ended then is the surplus.
        let is_full = endpoint.own.running + endpoint.offered + others >= endpoint.slots;
        if is_full || !endpoint.is_usable(now) || endpoint.is_doubted(now, &self.params) {
            return;
        }
        endpoint.offered += 1;
        self.peers.offered(peer, class);
        self.kept.push_back(Kept { until: now + KEPT, endpoint: name.clone() });
        self.offers.push(Offer { peer, endpoint: name.clone() });
    }

    /// Returns the offers to be told since the last call.
    pub fn take_offers(&mut self) -> Vec<Offer> {
        std::mem::take(&mut self.offers)
    }

    /// Takes a slot that another daemon offers, for the first waiting request that can use it.
    pub fn accept(&mut self, now: Timestamp, name: &id::EndpointName) -> Option<(Ticket, Grant)> {
        let endpoint = self.endpoints.get(name).filter(|endpoint| endpoint.is_usable(now))?;
        let candidates = self.queue.first(CANDIDATES);
        let fits = |(_, class, demand): &&(Ticket, usize, Demand)| {
            !demand.tried.contains(name) && self.suits(now, *class, demand, endpoint)
        };
        let (ticket, _, demand) = candidates.iter().find(fits)?;
        let grant = self.start(now, name.clone(), demand)?;
        self.queue.take(*ticket);
        self.flow.granted(now);
        Some((*ticket, grant))
    }

    /// Frees the slots whose offers have lapsed.
    pub(super) fn lapse(&mut self, now: Timestamp) {
        while self.kept.front().is_some_and(|kept| kept.until <= now) {
            let Some(kept) = self.kept.pop_front() else { return };
            if let Some(endpoint) = self.endpoints.get_mut(&kept.endpoint) {
                endpoint.offered = endpoint.offered.saturating_sub(1);
            }
        }
    }

    /// Grants all places that waiting requests can have now, the most urgent first.
    pub fn grant_waiting(&mut self, now: Timestamp) -> Vec<(Ticket, Grant)> {
        let mut grants = Vec::new();
        self.lapse(now);
        self.queue.note_late(now);
        while let Some((ticket, grant)) = self.grant_first(now) {
            self.queue.take(ticket);
            self.flow.granted(now);
            grants.push((ticket, grant));
        }
        grants
    }

    fn grant_first(&mut self, now: Timestamp) -> Option<(Ticket, Grant)> {
        if self.queue.len() == 0 || self.free(now) == 0 {
            return None;
        }
        for (ticket, class, demand) in self.queue.first(CANDIDATES) {
            if let Some(grant) = self.grant(now, class, &demand) {
                return Some((ticket, grant));
            }
        }
        None
    }
}
