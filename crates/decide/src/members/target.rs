//! Whom to exchange digests with.

use std::net;

use trefoildyke_types::id;

/// Names the other side of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A member that the view holds.
    Member(id::Incarnation),
    /// Whoever answers at an address, for joining and for finding lost members again.
    Address(net::SocketAddr),
}
