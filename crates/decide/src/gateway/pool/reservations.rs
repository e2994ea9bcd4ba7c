//! Slots that were granted to other daemons and are not yet in their reports.

use std::{net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{Grant, Pool};

/// How long a slot is reserved for a daemon that does not report it: all daemons report their load twice a
/// second.
const RESERVATION_TTL: time::Duration = time::Duration::from_millis(700);

/// A slot that was granted to another daemon.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    expires_at: Timestamp,
    given: u64,
    endpoint: id::EndpointName,
    /// Which start of the endpoint.
    start: u64,
    prompt: u32,
}

impl Pool {
    /// Reserves a granted slot for another daemon, as the `given`-th slot granted to it.
    ///
    /// The slot counts as taken until that daemon's report confirms it, or until the reservation expires.
    pub fn reserve(&mut self, now: Timestamp, grant: &Grant, peer: net::SocketAddr, given: u64) {
        if let Some(endpoint) = self.granted_endpoint(grant) {
            endpoint.own.remove(grant.prompt);
            endpoint.reserved.add(grant.prompt);
        }
        self.reservations.entry(peer).or_default().push_back(Reservation {
            expires_at: now + RESERVATION_TTL,
            given,
            endpoint: grant.endpoint.clone(),
            start: grant.start,
            prompt: grant.prompt,
        });
    }

    /// Removes the reservations that a daemon's report confirms: all up to number `placed`.
    pub(super) fn confirm_reservations(&mut self, peer: net::SocketAddr, placed: u64) {
        let Some(reservations) = self.reservations.get_mut(&peer) else { return };
        let confirmed = reservations.partition_point(|reservation| reservation.given <= placed);
        let confirmed: Vec<_> = reservations.drain(..confirmed).collect();
        for reservation in &confirmed {
            self.release_reservation(reservation);
        }
    }

    /// Removes expired reservations.
    pub(super) fn expire_reservations(&mut self, now: Timestamp) {
        let mut expired = Vec::new();
        self.reservations.retain(|_, reservations| {
            let count = reservations.partition_point(|reservation| reservation.expires_at <= now);
            expired.extend(reservations.drain(..count));
            !reservations.is_empty()
        });
        for reservation in &expired {
            self.release_reservation(reservation);
        }
    }

    fn release_reservation(&mut self, reservation: &Reservation) {
        if let Some(endpoint) = self.endpoints.get_mut(&reservation.endpoint)
            && endpoint.start == reservation.start
        {
            endpoint.reserved.remove(reservation.prompt);
        }
    }
}
