//! The watch that a few daemons hold on the key-value service.

use std::sync;

use rand::Rng;
use tokio::{sync::watch, time};
use trefoildyke_decide::{config::storage, members};
use trefoildyke_types::{error, id};
use trefoildyke_wire::platform::{self, message};

use crate::config::{Handle, Peers, store};

/// The rendezvous key of the watchers.
const ROLE: u64 = 0x636f_6e66_6967;

/// Reads the configuration once, and then watches it for as long as this daemon is chosen.
pub(crate) async fn run(handle: Handle, mut peers: Peers) {
    let mut revision = read_first(&handle, &mut peers).await;
    loop {
        wait_until_chosen(&handle, &mut peers).await;
        match watch(&handle, revision).await {
            Ok(seen) => revision = seen,
            Err(error) => {
                log::warn!(target: "config", "the configuration cannot be watched: {error}");
                pause(&handle).await;
                if let Ok(read) = read(&handle).await {
                    revision = read;
                }
            }
        }
    }
}

/// Reads until an answer comes or a peer has brought a version.
async fn read_first(handle: &Handle, peers: &mut Peers) -> u64 {
    loop {
        match read(handle).await {
            Ok(revision) => return revision,
            Err(error) => {
                log::warn!(target: "config", "the configuration cannot be read: {error}");
                pause(handle).await;
                if handle.snapshot().version() > 0 && !is_chosen(handle, &peers.view, peers.own) {
                    return 0;
                }
            }
        }
    }
}

async fn pause(handle: &Handle) {
    let retry = handle.settings.retry();
    // Daemons that failed together do not come back together.
    let factor = rand::rng().random_range(0.5..1.5);
    time::sleep(retry.mul_f64(factor)).await;
}

/// Waits until this daemon is one of the watchers.
async fn wait_until_chosen(handle: &Handle, peers: &mut Peers) {
    while !is_chosen(handle, &peers.view, peers.own) {
        if peers.view.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn is_chosen(
    handle: &Handle,
    view: &watch::Receiver<sync::Arc<members::View>>,
    own: id::Incarnation,
) -> bool {
    let view = view.borrow();
    let owners = view.owners(ROLE, handle.settings.watchers);
    owners.is_empty() || owners.iter().any(|member| member.incarnation == own)
}

/// Reads the root and adopts it; returns the revision from which to watch.
async fn read(handle: &Handle) -> Result<u64, error::Error> {
    let reply = handle.store.kv().get(storage::ROOT_KEY).await?;
    let stored = store::Stored::new(reply.entry.as_ref())?;
    let seen = reply.revision;
    adopt(handle, stored).await?;
    Ok(seen)
}

/// Waits for one round of changes and returns the revision up to which all are adopted.
async fn watch(handle: &Handle, after: u64) -> Result<u64, error::Error> {
    let wait_ms = handle.settings.watch_ms;
    let watch = message::Watch { prefix: storage::ROOT_KEY.to_owned(), after, wait_ms };
    let reply = match handle.store.kv().watch(&watch).await {
        Ok(reply) => reply,
        Err(platform::WatchError::TooOld) => return read(handle).await,
        Err(platform::WatchError::Failed(error)) => return Err(error),
    };
    let Some(last) = reply.events.last() else {
        return Ok(reply.revision);
    };
    let root = match &last.value {
        Some(text) => storage::Root::parse(text)?,
        None => storage::Root::default(),
    };
    let revision = last.value.as_ref().map_or(0, |_| last.revision);
    adopt(handle, store::Stored { root, revision }).await?;
    Ok(reply.revision)
}

/// Adopts a root, or brings back into the service what is in force here and lost there.
async fn adopt(handle: &Handle, stored: store::Stored) -> Result<(), error::Error> {
    let have = handle.snapshot();
    if stored.root.version < have.version() {
        return restore(handle).await;
    }
    if stored.root.reaches_back(have.version()) {
        return handle.extend(stored.root.tail).await.map(|_| ());
    }
    let (_, snapshot) = handle.store.load(stored, &have).await?;
    handle.replace(snapshot).await.map(|_| ())
}

/// Reads the root again and restores it only if it is still behind: an event may be an old one.
async fn restore(handle: &Handle) -> Result<(), error::Error> {
    let stored = handle.store.read().await?;
    let have = handle.snapshot();
    if stored.root.version >= have.version() {
        return Ok(());
    }
    log::warn!(
        target: "config",
        "the key-value service holds version {}, older than {} in force; writing it back",
        stored.root.version,
        have.version(),
    );
    handle.store.restore(&stored, &have).await.map(|_| ())
}
