//! Calls to the coordinators of other daemons.

use std::{sync, time};

use futures::future;
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

/// Calls [`peer::Peer::read`] at a member, with a timeout.
pub type ReadCall = sync::Arc<
    dyn Fn(
            id::Incarnation,
            peer::ReadRequest,
            time::Duration,
        ) -> future::BoxFuture<'static, Result<peer::ReadAnswer, error::Error>>
        + Send
        + Sync,
>;

/// The calls to other coordinators.
#[derive(Clone)]
pub struct PeerCalls {
    /// The incarnation of this daemon.
    pub own: id::Incarnation,
    /// Reads part of an answer from its coordinator.
    pub read: ReadCall,
}
