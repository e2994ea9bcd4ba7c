//! A connection in use.

use std::{ops, sync};

use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::peers::pool;

/// Makes calls to one incarnation of a peer; its connection stays open while it is held.
///
/// Hold one for the length of a call, not for longer: after a failure the next one from
/// [`super::Handle::client`] has a new connection.
#[derive(Clone)]
pub struct Client {
    pub(super) client: peer::PeerClient,
    pub(super) incarnation: id::Incarnation,
    /// Counts as a use of the connection.
    pub(super) _used: sync::Arc<pool::Used>,
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
