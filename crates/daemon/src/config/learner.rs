//! Learning of versions from peers.

use std::sync;

use rand::seq::IteratorRandom;
use tokio::time;
use trefoildyke_decide::{
    config::{self, storage},
    members,
};
use trefoildyke_types::{error, id};
use trefoildyke_wire::peer;

use crate::config::{Handle, Peers};

/// Reads changes from a peer that announced a higher version.
///
/// A daemon that has no version yet asks any peer, without waiting for an announcement. Otherwise
/// nothing is asked at random, since that would open a connection to every peer in time.
pub(crate) async fn run(handle: Handle, mut peers: Peers) {
    let mut poll = time::interval(handle.settings.poll());
    poll.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            changed = peers.newest.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            _ = poll.tick() => {}
        }
        let Some(source) = source(&handle, &peers) else {
            continue;
        };
        if let Err(error) = pull(&handle, &peers, source).await {
            log::info!(target: "config", "no changes from peer {source}: {error}");
        }
    }
}

/// Returns whom to ask, if anybody.
fn source(handle: &Handle, peers: &Peers) -> Option<id::Incarnation> {
    let own = handle.snapshot().version();
    let announced = peers.newest.borrow().filter(|newest| newest.version > own);
    match announced {
        Some(newest) => Some(newest.incarnation),
        None if own == 0 => any_peer(&peers.view.borrow(), peers.own),
        None => None,
    }
}

fn any_peer(view: &members::View, own: id::Incarnation) -> Option<id::Incarnation> {
    let others = view.alive().filter(|member| member.incarnation != own);
    others.choose(&mut rand::rng()).map(|member| member.incarnation)
}

/// Reads what this daemon lacks from one peer and adopts it.
async fn pull(handle: &Handle, peers: &Peers, source: id::Incarnation) -> Result<(), error::Error> {
    let from = handle.snapshot().version();
    let mut request = peer::ChangesRequest { from, after: None };
    let mut whole = Vec::new();
    let mut first = None;
    loop {
        match ask(peers, source, request.clone()).await? {
            storage::Answer::Changes(changes) => return handle.extend(changes).await.map(|_| ()),
            storage::Answer::Page { version, resources, more } => {
                if *first.get_or_insert(version) != version {
                    return Err(moved(version));
                }
                request.after = resources.last().map(trefoildyke_types::resource::Resource::key);
                whole.extend(resources);
                if !more {
                    let snapshot = sync::Arc::new(config::Snapshot::of(version, whole));
                    return handle.replace(snapshot).await.map(|_| ());
                }
            }
        }
    }
}

async fn ask(
    peers: &Peers,
    source: id::Incarnation,
    request: peer::ChangesRequest,
) -> Result<storage::Answer, error::Error> {
    let changes = (peers.pull)(source, request).await?;
    let text: String = changes.body.decode().map_err(|error| protocol(&error))?;
    serde_json::from_str(&text).map_err(|error| protocol(&error))
}

fn moved(version: u64) -> error::Error {
    let message = format!("the peer went on to version {version} while its pages were read");
    error::Error::new(error::ErrorKind::Unavailable, message)
}

fn protocol(error: &dyn std::error::Error) -> error::Error {
    error::Error::new(error::ErrorKind::Protocol, error.to_string())
}
