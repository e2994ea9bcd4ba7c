//! One member of a group.

use std::net;

use trefoildyke_decide::members;
use trefoildyke_types::{id, time};

use crate::gossip::Traffic;

/// Holds one member and what it has sent and received.
#[derive(Clone, Debug)]
pub struct Node {
    /// The member's state.
    pub membership: members::Membership,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// Its address.
    pub address: net::SocketAddr,
    /// Whether it runs; a stopped one keeps its state, as a frozen process does.
    pub running: bool,
    /// Its configuration version.
    pub config: u64,
    /// What it has sent and received.
    pub traffic: Traffic,
}

impl Node {
    pub(crate) fn new(
        number: usize,
        incarnation: u64,
        params: members::Params,
        now: time::Timestamp,
    ) -> Self {
        let location = location(number);
        let address = location.peer;
        let incarnation = id::Incarnation::from_u64(incarnation);
        let membership = members::Membership::new(incarnation, location, params, now);
        let traffic = Traffic::default();
        Self { membership, incarnation, address, running: true, config: 0, traffic }
    }
}

/// Returns where the member with `number` runs; there are 13 zones.
pub fn location(number: usize) -> members::Location {
    let [high, low] = u16::try_from(number).unwrap_or(u16::MAX).to_be_bytes();
    members::Location {
        host: id::HostName::new(&format!("host-{number:05}.example")),
        zone: id::ZoneName::new(&format!("zone-{:02}", number % 13)),
        peer: net::SocketAddr::from(([10, 0, high, low], 7400)),
    }
}
