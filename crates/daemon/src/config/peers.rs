//! The configuration service's connection to the other daemons.

use std::sync;

use futures::future;
use tokio::sync::watch;
use trefoildyke_decide::members;
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

/// The highest version that a peer has announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedVersion {
    /// The version.
    pub version: u64,
    /// The peer that has the version.
    pub incarnation: id::Incarnation,
}

type Answer = future::BoxFuture<'static, Result<peer::Changes, error::Error>>;

/// A call that requests changes from one peer.
pub type RequestChanges =
    sync::Arc<dyn Fn(id::Incarnation, peer::ChangesRequest) -> Answer + Send + Sync>;

/// The configuration service's connection to the other daemons.
#[derive(Clone)]
pub struct Peers {
    /// The incarnation of this daemon.
    pub own: id::Incarnation,
    /// The members in the view of this daemon.
    pub view: watch::Receiver<sync::Arc<members::View>>,
    /// The highest version that any peer has announced; `None` before the first announcement.
    pub newest: watch::Receiver<Option<AnnouncedVersion>>,
    /// Requests changes from one peer; sets its own deadline.
    pub request_changes: RequestChanges,
}
