//! What the configuration service needs from the other daemons.

use std::sync;

use futures::future;
use tokio::sync::watch;
use trefoildyke_decide::members;
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

/// Names the highest version that a peer has announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Newest {
    /// The version.
    pub version: u64,
    /// The peer that has it in force.
    pub incarnation: id::Incarnation,
}

type Answer = future::BoxFuture<'static, Result<peer::Changes, error::Error>>;

/// Asks one peer for changes.
pub type Pull = sync::Arc<dyn Fn(id::Incarnation, peer::ChangesRequest) -> Answer + Send + Sync>;

/// Connects the configuration service to the other daemons.
#[derive(Clone)]
pub struct Peers {
    /// This daemon.
    pub own: id::Incarnation,
    /// The members as this daemon sees them.
    pub view: watch::Receiver<sync::Arc<members::View>>,
    /// The highest version that any peer has announced; `None` before the first.
    pub newest: watch::Receiver<Option<Newest>>,
    /// Asks one peer for changes, within a deadline of its own.
    pub pull: Pull,
}
