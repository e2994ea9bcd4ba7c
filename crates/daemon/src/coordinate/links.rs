//! How other coordinators are reached.

use std::{sync, time};

use futures::future;
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

/// Calls [`peer::Peer::read`] at a member, with a deadline.
pub type ReadCall = sync::Arc<
    dyn Fn(
            id::Incarnation,
            peer::ReadRequest,
            time::Duration,
        ) -> future::BoxFuture<'static, Result<peer::ReadAnswer, error::Error>>
        + Send
        + Sync,
>;

/// Says how other coordinators are reached.
#[derive(Clone)]
pub struct Links {
    /// This daemon.
    pub own: id::Incarnation,
    /// Reads an answer from its coordinator.
    pub read: ReadCall,
}
