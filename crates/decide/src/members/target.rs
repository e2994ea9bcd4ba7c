//! The target of an exchange of digests.

use std::net;

use trefoildyke_types::id;

/// The other side of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A member of the view.
    Member(id::Incarnation),
    /// The daemon that answers at an address, for joining and for finding lost members again.
    Address(net::SocketAddr),
}
