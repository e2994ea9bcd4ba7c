//! The learner, which reads new versions from peers.

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

/// Reads changes from the peer that announced the highest version.
///
/// A daemon without a version asks a random peer, without waiting for an announcement. A daemon with a
/// version never does, because over time it would open a connection to every peer.
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
        let Some(source) = choose_source(&handle, &peers) else {
            continue;
        };
        if let Err(error) = pull(&handle, &peers, source).await {
            log::info!(target: "config", "failed to read changes from peer {source}: {error}");
        }
    }
}

/// Returns the peer from which to read, or `None` if no read is needed or possible.
fn choose_source(handle: &Handle, peers: &Peers) -> Option<id::Incarnation> {
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

/// Reads from a peer what this daemon lacks, and adopts it.
async fn pull(handle: &Handle, peers: &Peers, source: id::Incarnation) -> Result<(), error::Error> {
    let from = handle.snapshot().version();
    let mut request = peer::ChangesRequest { from, after: None };
    let mut all_resources = Vec::new();
    let mut page_version = None;
    loop {
        match request_changes(peers, source, request.clone()).await? {
            storage::Answer::Changes(changes) => return handle.extend(changes).await.map(|_| ()),
            storage::Answer::Page { version, resources, more } => {
                if *page_version.get_or_insert(version) != version {
                    return Err(version_changed(version));
                }
                request.after = resources.last().map(trefoildyke_types::resource::Resource::key);
                all_resources.extend(resources);
                if !more {
                    let snapshot =
                        sync::Arc::new(config::Snapshot::from_resources(version, all_resources));
                    return handle.replace(snapshot).await.map(|_| ());
                }
            }
        }
    }
}

async fn request_changes(
    peers: &Peers,
    source: id::Incarnation,
    request: peer::ChangesRequest,
) -> Result<storage::Answer, error::Error> {
    let changes = (peers.request_changes)(source, request).await?;
    let text: String = changes.body.decode().map_err(|error| protocol_error(&error))?;
    serde_json::from_str(&text).map_err(|error| protocol_error(&error))
}

fn version_changed(version: u64) -> error::Error {
    let message = format!("the peer changed to version {version} while its pages were read");
    error::Error::new(error::ErrorKind::Unavailable, message)
}

fn protocol_error(error: &dyn std::error::Error) -> error::Error {
    error::Error::new(error::ErrorKind::Protocol, error.to_string())
}
