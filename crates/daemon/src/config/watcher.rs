//! The watch on the key-value service, which only a few daemons keep.

use std::sync;

use rand::Rng;
use tokio::{sync::watch, time};
use trefoildyke_decide::{config::storage, members};
use trefoildyke_types::{error, id};
use trefoildyke_wire::platform::{self, message};

use crate::config::{Handle, Peers, store};

/// The key whose owners by rendezvous hashing are the watchers.
const WATCHERS_KEY: u64 = 0x636f_6e66_6967;

/// Reads the configuration once, and then watches it whenever this daemon is a watcher.
pub(crate) async fn run(handle: Handle, mut peers: Peers) {
    let mut revision = read_initial(&handle, &mut peers).await;
    loop {
        wait_until_watcher(&handle, &mut peers).await;
        match watch(&handle, revision).await {
            Ok(seen) => revision = seen,
            Err(error) => {
                log::warn!(target: "config", "failed to watch the configuration: {error}");
                wait_to_retry(&handle).await;
                if let Ok(latest) = read(&handle).await {
                    revision = latest;
                }
            }
        }
    }
}

/// Reads the root until the service answers, and returns the revision from which to watch.
///
/// Stops after a failed read and returns 0 if a peer has provided a version and this daemon is no watcher.
async fn read_initial(handle: &Handle, peers: &mut Peers) -> u64 {
    loop {
        match read(handle).await {
            Ok(revision) => return revision,
            Err(error) => {
                log::warn!(target: "config", "failed to read the configuration: {error}");
                wait_to_retry(handle).await;
                if handle.snapshot().version() > 0 && !is_watcher(handle, &peers.view, peers.own) {
                    return 0;
                }
            }
        }
    }
}

/// Waits before the next read after a failed one.
async fn wait_to_retry(handle: &Handle) {
    let retry = handle.settings.retry();
    // Prevents daemons whose reads failed at the same time from retrying at the same time.
    let jitter = rand::rng().random_range(0.5..1.5);
    time::sleep(retry.mul_f64(jitter)).await;
}

/// Waits until this daemon is one of the watchers.
async fn wait_until_watcher(handle: &Handle, peers: &mut Peers) {
    while !is_watcher(handle, &peers.view, peers.own) {
        if peers.view.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns whether this daemon is a watcher; also true if no owner is known.
fn is_watcher(
    handle: &Handle,
    view: &watch::Receiver<sync::Arc<members::View>>,
    own: id::Incarnation,
) -> bool {
    let view = view.borrow();
    let owners = view.owners(WATCHERS_KEY, handle.settings.watchers);
    owners.is_empty() || owners.iter().any(|member| member.incarnation == own)
}

/// Reads and adopts the root, and returns the revision from which to watch.
async fn read(handle: &Handle) -> Result<u64, error::Error> {
    let reply = handle.store.kv().get(storage::ROOT_KEY).await?;
    let stored = store::StoredRoot::new(reply.entry.as_ref())?;
    let seen = reply.revision;
    adopt(handle, stored).await?;
    Ok(seen)
}

/// Waits for the next changes, adopts them, and returns the revision from which to watch next.
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
    adopt(handle, store::StoredRoot { root, revision }).await?;
    Ok(reply.revision)
}

/// Adopts a root, or restores the current snapshot in the service if the root is older than the snapshot.
async fn adopt(handle: &Handle, stored: store::StoredRoot) -> Result<(), error::Error> {
    let current = handle.snapshot();
    if stored.root.version < current.version() {
        return restore(handle).await;
    }
    if stored.root.covers(current.version()) {
        return handle.extend(stored.root.tail).await.map(|_| ());
    }
    let (_, snapshot) = handle.store.load(stored, &current).await?;
    handle.replace(snapshot).await.map(|_| ())
}

/// Reads the root again, because an event may be outdated, and restores the current snapshot in the service
/// if the root is still older.
async fn restore(handle: &Handle) -> Result<(), error::Error> {
    let stored = handle.store.read().await?;
    let current = handle.snapshot();
    if stored.root.version >= current.version() {
        return Ok(());
    }
    log::warn!(
        target: "config",
        "the key-value service holds version {}, older than the current version {}; restoring it",
        stored.root.version,
        current.version(),
    );
    handle.store.restore(&stored, &current).await.map(|_| ())
}
