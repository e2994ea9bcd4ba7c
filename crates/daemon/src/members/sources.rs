//! What the membership service needs from others.

use tokio::sync::{mpsc, watch};
use trefoildyke_decide::members;
use trefoildyke_types::id;

use crate::{hosts, peers};

/// Connects the membership service to the others.
pub struct Sources {
    /// The connections to peers.
    pub peers: peers::Handle,
    /// The peers whose connections failed.
    pub lost: mpsc::Receiver<id::Incarnation>,
    /// How far this daemon has come.
    pub versions: watch::Receiver<members::Versions>,
    /// The platform's list of hosts, which names peer addresses; `None` without one.
    pub hosts: Option<hosts::Handle>,
    /// Peer addresses from the settings.
    pub seeds: Vec<std::net::SocketAddr>,
}
