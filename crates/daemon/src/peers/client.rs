//! A client of one peer.

use std::{ops, sync};

use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::peers::pool;

/// A client that calls one incarnation of a peer; the connection stays open while the client exists.
///
/// Keep a client for the length of one call only: after a failure, the next client from
/// [`super::Handle::client`] has a new connection.
#[derive(Clone)]
pub struct Client {
    pub(super) client: peer::PeerClient,
    pub(super) incarnation: id::Incarnation,
    /// Keeps the connection counted as in use.
    pub(super) _last_use: sync::Arc<pool::LastUse>,
}

impl Client {
    /// Returns the incarnation at the other end.
    pub const fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }
}

impl ops::Deref for Client {
    type Target = peer::PeerClient;

    fn deref(&self) -> &Self::Target {
        &self.client
    }
}
