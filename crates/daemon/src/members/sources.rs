//! Inputs of the membership service.

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::members;
use trefoildyke_types::id;

use crate::{hosts, peers};

/// The inputs that the membership service takes from other services.
pub struct Sources {
    /// The connections to peers.
    pub peers: peers::Handle,
    /// Receives the peers whose connections failed.
    pub failed_peers: mpsc::Receiver<id::Incarnation>,
    /// The versions that this daemon has reached.
    pub versions: watch::Receiver<members::Versions>,
    /// The platform's host list, a source of peer addresses; `None` if there is no list.
    pub hosts: Option<hosts::Handle>,
    /// Peer addresses from the settings.
    pub seeds: Vec<std::net::SocketAddr>,
}
