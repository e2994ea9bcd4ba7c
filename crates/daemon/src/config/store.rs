//! The store of the configuration in the key-value service.

use std::sync;

use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::{error, id};
use trefoildyke_wire::platform::{self, message};

/// The maximum number of attempts to load a root whose chunks are replaced during the load.
const MAX_LOADS: usize = 4;

/// The maximum number of chunks that one list call returns.
const SWEEP_PAGE: usize = 2;

/// The root with the revision that the next write compares.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoredRoot {
    pub(crate) root: storage::Root,
    /// The revision of the root's key; 0 if the key does not exist.
    pub(crate) revision: u64,
}

impl StoredRoot {
    pub(crate) fn new(entry: Option<&message::Entry>) -> Result<Self, error::Error> {
        entry.map_or_else(
            || Ok(Self::default()),
            |entry| {
                let root = storage::Root::parse(&entry.value)?;
                Ok(Self { root, revision: entry.revision })
            },
        )
    }
}

/// A store that reads and writes the configuration in the key-value service.
#[derive(Clone)]
pub(crate) struct Store {
    kv: platform::KvClient,
}

impl Store {
    pub(crate) const fn new(kv: platform::KvClient) -> Self {
        Self { kv }
    }

    pub(crate) const fn kv(&self) -> &platform::KvClient {
        &self.kv
    }

    pub(crate) async fn read(&self) -> Result<StoredRoot, error::Error> {
        let reply = self.kv.get(storage::ROOT_KEY).await?;
        StoredRoot::new(reply.entry.as_ref())
    }

    /// Returns the snapshot of a root, based on `current` if the tail has every change after `current`.
    ///
    /// Also returns the root, which is a later one if the chunks of the given root have been replaced.
    pub(crate) async fn load(
        &self,
        mut stored: StoredRoot,
        current: &sync::Arc<config::Snapshot>,
    ) -> Result<(StoredRoot, sync::Arc<config::Snapshot>), error::Error> {
        for _ in 0..MAX_LOADS {
            if stored.root.version == current.version() {
                return Ok((stored, sync::Arc::clone(current)));
            }
            if stored.root.covers(current.version()) {
                let snapshot = stored.root.apply_tail(current)?;
                return Ok((stored, snapshot.into()));
            }
            if let Some(values) = self.read_chunks(&stored.root).await? {
                let snapshot = stored.root.rebuild(&values)?;
                return Ok((stored, snapshot.into()));
            }
            stored = self.read().await?;
        }
        Err(error::Error::new(error::ErrorKind::Unavailable, "the chunks keep being replaced")
            .about(&storage::ROOT_KEY))
    }

    /// Returns the values of all chunks of a root, or `None` if a chunk no longer exists.
    async fn read_chunks(&self, root: &storage::Root) -> Result<Option<Vec<String>>, error::Error> {
        let mut values = Vec::new();
        for key in &root.chunks {
            match self.kv.get(key).await?.entry {
                Some(entry) => values.push(entry.value),
                None => return Ok(None),
            }
        }
        Ok(Some(values))
    }

    /// Writes the chunks of a plan, and then the root if its revision is still `revision`.
    pub(crate) async fn write(
        &self,
        plan: &storage::Plan,
        revision: u64,
    ) -> Result<(), platform::WriteError> {
        for chunk in &plan.chunks {
            self.put(&chunk.key, &chunk.value, None).await.map_err(without_effect)?;
        }
        let text = plan.root.to_text().map_err(platform::WriteError::Invalid)?;
        self.put(storage::ROOT_KEY, &text, Some(revision)).await
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        expect: Option<u64>,
    ) -> Result<(), platform::WriteError> {
        let put =
            message::Put { key: key.to_owned(), value: value.to_owned(), expect, lease: None };
        self.kv.put(&put).await.map(|_| ())
    }

    /// Restores a snapshot that the service has lost; returns `false` if another daemon wrote first.
    pub(crate) async fn restore(
        &self,
        stored: &StoredRoot,
        snapshot: &config::Snapshot,
    ) -> Result<bool, error::Error> {
        let plan = storage::restore(&stored.root, snapshot, id::Nonce(rand::random()))?;
        match self.write(&plan, stored.revision).await {
            Ok(()) => Ok(true),
            Err(platform::WriteError::Conflict(_)) => Ok(false),
            Err(error) => Err(error.error()),
        }
    }

    /// Deletes the chunks that no reader needs any more, the oldest first.
    pub(crate) async fn delete_obsolete(&self, root: &storage::Root) -> Result<(), error::Error> {
        let list = message::List {
            prefix: storage::CHUNK_PREFIX.to_owned(),
            after: String::new(),
            limit: SWEEP_PAGE,
        };
        loop {
            let page = self.kv.list(&list).await?;
            let keys = page.entries.iter().map(|entry| &entry.key);
            let obsolete: Vec<_> =
                keys.filter(|key| storage::is_obsolete_chunk(key, root.previous_fold)).collect();
            if obsolete.is_empty() {
                return Ok(());
            }
            for key in obsolete {
                let delete = message::Delete { key: key.clone(), expect: None };
                self.kv.delete(&delete).await.map_err(|error| error.error())?;
            }
        }
    }
}

/// Converts the error of a write of a chunk: the change has no effect, because its root is not written.
fn without_effect(error: platform::WriteError) -> platform::WriteError {
    match error {
        platform::WriteError::Unsure(detail) => platform::WriteError::Unavailable(detail),
        error => error,
    }
}
