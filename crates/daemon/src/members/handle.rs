//! The handle through which other services read the membership.

use std::{net, sync, time};

use tokio::sync::{mpsc, oneshot, watch};
use trefoildyke_decide::members;
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

use crate::{
    clock, config,
    members::{ReachedVersions, Runner, command},
    peers,
};

const COMMAND_CAPACITY: usize = 256;

/// The timeout of a ping that this daemon sends on behalf of another member.
pub(super) const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// A handle to the membership service; published in the registry as `members`.
#[derive(Clone)]
pub struct Handle {
    pub(super) own: id::Incarnation,
    pub(super) commands: mpsc::Sender<command::Command>,
    pub(super) views: watch::Receiver<sync::Arc<members::View>>,
    pub(super) newest_version: watch::Receiver<Option<config::AnnouncedVersion>>,
    pub(super) in_force: watch::Receiver<ReachedVersions>,
    pub(super) last_contact: watch::Receiver<Option<tokio::time::Instant>>,
}

/// Creates the service.
///
/// Returns the handle for the other services and the task, which must run on the control thread.
pub fn new(
    own: id::Incarnation,
    location: members::Location,
    params: members::Params,
    clock: clock::Clock,
) -> (Handle, Runner) {
    let (commands, received) = mpsc::channel(COMMAND_CAPACITY);
    let membership = members::Membership::new(own, location, params, clock.monotonic());
    let (views_sender, views) = watch::channel(sync::Arc::new(membership.view()));
    let (newest_sender, newest_version) = watch::channel(None);
    let (in_force_sender, in_force) = watch::channel(ReachedVersions::default());
    let (contact_sender, last_contact) = watch::channel(None);
    let runner = Runner {
        clock,
        membership,
        commands: received,
        views: views_sender,
        newest_version: newest_sender,
        in_force: in_force_sender,
        last_contact: contact_sender,
    };
    (Handle { own, commands, views, newest_version, in_force, last_contact }, runner)
}

impl Handle {
    /// Returns this daemon's incarnation.
    pub const fn own(&self) -> id::Incarnation {
        self.own
    }

    /// Returns the current view of the members at this daemon.
    pub fn view(&self) -> sync::Arc<members::View> {
        sync::Arc::clone(&self.views.borrow())
    }

    /// Returns a receiver of the latest view of the members.
    pub fn subscribe(&self) -> watch::Receiver<sync::Arc<members::View>> {
        self.views.clone()
    }

    /// Returns a receiver of the newest configuration version that a peer has announced.
    pub fn newest_version(&self) -> watch::Receiver<Option<config::AnnouncedVersion>> {
        self.newest_version.clone()
    }

    /// Returns a receiver of the versions that every member has reached.
    ///
    /// The versions fall back to zero whenever the set of members changes. For one set of members,
    /// a version that was reached stays reached.
    pub fn in_force(&self) -> watch::Receiver<ReachedVersions> {
        self.in_force.clone()
    }

    /// Returns when this daemon last heard from any peer, or `None` if it never has.
    pub fn last_contact(&self) -> Option<tokio::time::Instant> {
        *self.last_contact.borrow()
    }

    /// Returns the peer address of a member; `None` if the member is unknown or does not count any more.
    pub fn address(&self, incarnation: id::Incarnation) -> Option<net::SocketAddr> {
        address(&self.views.borrow(), incarnation)
    }

    /// Announces to the members that this daemon shuts down and takes no soft roles any more.
    pub async fn leave(&self) {
        // Sending fails only if the task has ended, that is, if the daemon has stopped already.
        let _ = self.commands.send(command::Command::Leave).await;
    }

    /// Registers the methods that peers call for the membership.
    pub fn serve_peers(&self, peers: &peers::Handle, methods: &mut peer::Methods) {
        let handle = self.clone();
        methods.exchange = peer::Methods::method(move |_, digest| {
            let handle = handle.clone();
            async move { handle.exchange_for_peer(&digest).await }
        });
        let peers = peers.clone();
        methods.probe = peer::Methods::method(move |_, target| {
            let peers = peers.clone();
            async move { Ok(ping_member(&peers, target).await) }
        });
    }

    async fn exchange_for_peer(
        &self,
        digest: &peer::Payload,
    ) -> Result<peer::Payload, error::Error> {
        let digest = digest.decode()?;
        let (reply, answer) = oneshot::channel();
        let command = command::Command::Received(digest, reply);
        self.commands.send(command).await.map_err(|_| stopping_error())?;
        let answer: members::Digest = answer.await.map_err(|_| stopping_error())?;
        Ok(peer::Payload::encode(&answer)?)
    }
}

/// Returns the peer address of a member; `None` if the member is unknown or does not count any more.
pub(super) fn address(
    view: &members::View,
    incarnation: id::Incarnation,
) -> Option<net::SocketAddr> {
    view.find(incarnation).filter(|member| member.state.is_member()).map(|member| member.peer)
}

/// Returns whether a member answers a ping within [`PROBE_TIMEOUT`].
async fn ping_member(peers: &peers::Handle, target: id::Incarnation) -> bool {
    let ping = async {
        let client = peers.client(target).await.ok()?;
        client.ping(peer::within(PROBE_TIMEOUT)).await.ok()
    };
    tokio::time::timeout(PROBE_TIMEOUT, ping).await.is_ok_and(|answer| answer.is_some())
}

fn stopping_error() -> error::Error {
    error::Error::new(error::ErrorKind::Unavailable, "the daemon is stopping")
        .remedy("ask another daemon")
}
