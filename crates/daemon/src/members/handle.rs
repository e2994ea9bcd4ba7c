//! What the other services use.

use std::{net, sync, time};

use tokio::sync::{mpsc, oneshot, watch};
use trefoildyke_decide::members;
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

use crate::{
    clock, config,
    members::{InForce, Runner, command},
    peers,
};

const COMMANDS: usize = 256;

/// How long a member that this daemon is asked to reach may take to answer.
pub(super) const PROBE: time::Duration = time::Duration::from_millis(700);

/// Reads the membership; published as `members`.
#[derive(Clone)]
pub struct Handle {
    pub(super) own: id::Incarnation,
    pub(super) commands: mpsc::Sender<command::Command>,
    pub(super) views: watch::Receiver<sync::Arc<members::View>>,
    pub(super) newest: watch::Receiver<Option<config::Newest>>,
    pub(super) in_force: watch::Receiver<InForce>,
    pub(super) contact: watch::Receiver<Option<tokio::time::Instant>>,
}

/// Creates the service: the handle for the others and the task to run on the control thread.
pub fn new(
    own: id::Incarnation,
    place: members::Place,
    params: members::Params,
    clock: clock::Clock,
) -> (Handle, Runner) {
    let (commands, received) = mpsc::channel(COMMANDS);
    let membership = members::Membership::new(own, place, params, clock.mono());
    let (views_sender, views) = watch::channel(sync::Arc::new(membership.view()));
    let (newest_sender, newest) = watch::channel(None);
    let (in_force_sender, in_force) = watch::channel(InForce::default());
    let (contact_sender, contact) = watch::channel(None);
    let runner = Runner {
        clock,
        membership,
        commands: received,
        views: views_sender,
        newest: newest_sender,
        in_force: in_force_sender,
        contact: contact_sender,
    };
    (Handle { own, commands, views, newest, in_force, contact }, runner)
}

impl Handle {
    /// Returns this daemon's incarnation.
    pub const fn own(&self) -> id::Incarnation {
        self.own
    }

    /// Returns the members as this daemon sees them now.
    pub fn view(&self) -> sync::Arc<members::View> {
        sync::Arc::clone(&self.views.borrow())
    }

    /// Returns a receiver of every later view.
    pub fn subscribe(&self) -> watch::Receiver<sync::Arc<members::View>> {
        self.views.clone()
    }

    /// Returns a receiver of the highest configuration version that a peer has announced.
    pub fn newest(&self) -> watch::Receiver<Option<config::Newest>> {
        self.newest.clone()
    }

    /// Returns a receiver of how far every member has come.
    ///
    /// It falls back to zero whenever the set of members changes; what was once reached by a set
    /// stays so for that set.
    pub fn in_force(&self) -> watch::Receiver<InForce> {
        self.in_force.clone()
    }

    /// Returns when any peer was last heard, if ever.
    pub fn contact(&self) -> Option<tokio::time::Instant> {
        *self.contact.borrow()
    }

    /// Returns where a member that is not dead takes connections.
    pub fn address(&self, incarnation: id::Incarnation) -> Option<net::SocketAddr> {
        address(&self.views.borrow(), incarnation)
    }

    /// Tells the others that this daemon shuts down and takes no soft roles any more.
    pub async fn leave(&self) {
        // The task is gone only if the daemon has stopped already.
        let _ = self.commands.send(command::Command::Leave).await;
    }

    /// Serves the calls of peers that concern membership.
    pub fn serve_peers(&self, peers: &peers::Handle, methods: &mut peer::Methods) {
        let here = self.clone();
        methods.exchange = peer::Methods::method(move |_, digest| {
            let here = here.clone();
            async move { here.exchange_for_peer(&digest).await }
        });
        let peers = peers.clone();
        methods.probe = peer::Methods::method(move |_, target| {
            let peers = peers.clone();
            async move { Ok(reach(&peers, target).await) }
        });
    }

    async fn exchange_for_peer(
        &self,
        digest: &peer::Payload,
    ) -> Result<peer::Payload, error::Error> {
        let digest = digest.decode()?;
        let (reply, answer) = oneshot::channel();
        let command = command::Command::Received(digest, reply);
        self.commands.send(command).await.map_err(|_| stopping())?;
        let answer: members::Digest = answer.await.map_err(|_| stopping())?;
        Ok(peer::Payload::encode(&answer)?)
    }
}

/// Returns where a member that is not dead takes connections.
pub(super) fn address(
    view: &members::View,
    incarnation: id::Incarnation,
) -> Option<net::SocketAddr> {
    view.find(incarnation).filter(|member| member.state.counts()).map(|member| member.peer)
}

/// Returns whether a member answers in time.
async fn reach(peers: &peers::Handle, target: id::Incarnation) -> bool {
    let ping = async {
        let client = peers.client(target).await.ok()?;
        client.ping(peer::within(PROBE)).await.ok()
    };
    tokio::time::timeout(PROBE, ping).await.is_ok_and(|answer| answer.is_some())
}

fn stopping() -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, "the daemon is stopping")
        .remedy("ask another daemon")
}
