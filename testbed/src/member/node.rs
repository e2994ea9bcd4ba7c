//! One running node.

use std::{net, time};

use tokio::sync::watch;
use trefoildyke_daemon::{members as service, peers};
use trefoildyke_decide::members;
use trefoildyke_kernel as kernel;
use trefoildyke_types::id;

/// Holds a node that runs until it is killed or its kernel is closed.
pub struct Node {
    /// Its life.
    pub incarnation: id::Incarnation,
    /// Its membership.
    pub members: service::Handle,
    /// Its connections.
    pub peers: peers::Handle,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// How far it has come; a test sets it.
    pub versions: watch::Sender<members::Versions>,
    pub(crate) scope: kernel::Scope,
}

impl Node {
    /// Ends the node as if its process were killed; says whether it ended in time.
    pub async fn kill(&self, limit: time::Duration) -> bool {
        self.scope.close(limit).await
    }

    /// Gives the node a configuration version.
    pub fn configure(&self, config: u64) {
        self.versions.send_replace(members::Versions { config, settled: 0 });
    }

    /// Returns how the node sees another.
    pub fn state_of(&self, other: &Self) -> Option<members::State> {
        self.members.view().find(other.incarnation).map(|member| member.state)
    }
}
