//! The configuration in the key-value service.

use std::sync;

use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::{error, id};
use trefoildyke_wire::platform::{self, message};

/// How often a root is read again because its chunks have been replaced meanwhile.
const ATTEMPTS: usize = 4;

/// How many obsolete chunks one call looks for.
const SWEEP: usize = 2;

/// Holds the root with the revision that a write compares.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stored {
    pub(crate) root: storage::Root,
    /// The key's revision; 0 if the key does not exist.
    pub(crate) revision: u64,
}

impl Stored {
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

/// Reads and writes the configuration in the key-value service.
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

    pub(crate) async fn read(&self) -> Result<Stored, error::Error> {
        let reply = self.kv.get(storage::ROOT_KEY).await?;
        Stored::new(reply.entry.as_ref())
    }

    /// Returns the snapshot of a root, from `have` if the tail reaches back to it.
    ///
    /// Returns the root too: a later one, if the chunks of the first were replaced meanwhile.
    pub(crate) async fn load(
        &self,
        mut stored: Stored,
        have: &sync::Arc<config::Snapshot>,
    ) -> Result<(Stored, sync::Arc<config::Snapshot>), error::Error> {
        for _ in 0..ATTEMPTS {
            if stored.root.version == have.version() {
                return Ok((stored, sync::Arc::clone(have)));
            }
            if stored.root.reaches_back(have.version()) {
                let snapshot = stored.root.catch_up(have)?;
                return Ok((stored, snapshot.into()));
            }
            if let Some(values) = self.chunks(&stored.root).await? {
                let snapshot = stored.root.rebuild(&values)?;
                return Ok((stored, snapshot.into()));
            }
            stored = self.read().await?;
        }
        Err(error::Error::new(error::ErrorKind::Unavailable, "the chunks keep being replaced")
            .about(&storage::ROOT_KEY))
    }

    async fn chunks(&self, root: &storage::Root) -> Result<Option<Vec<String>>, error::Error> {
        let mut values = Vec::new();
        for key in &root.chunks {
            match self.kv.get(key).await?.entry {
                Some(entry) => values.push(entry.value),
                None => return Ok(None),
            }
        }
        Ok(Some(values))
    }

    /// Writes a plan: the chunks first, then the root, if it is still at `revision`.
    pub(crate) async fn write(
        &self,
        plan: &storage::Plan,
        revision: u64,
    ) -> Result<(), platform::WriteError> {
        for chunk in &plan.chunks {
            self.put(&chunk.key, &chunk.value, None).await.map_err(unsent)?;
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

    /// Writes a snapshot back that the service has lost; `false` if another daemon was first.
    pub(crate) async fn restore(
        &self,
        stored: &Stored,
        snapshot: &config::Snapshot,
    ) -> Result<bool, error::Error> {
        let plan = storage::restore(&stored.root, snapshot, id::Nonce(rand::random()))?;
        match self.write(&plan, stored.revision).await {
            Ok(()) => Ok(true),
            Err(platform::WriteError::Conflict(_)) => Ok(false),
            Err(error) => Err(error.error()),
        }
    }

    /// Deletes chunks that no reader needs any more, the oldest first.
    pub(crate) async fn sweep(&self, root: &storage::Root) -> Result<(), error::Error> {
        let list = message::List {
            prefix: storage::CHUNK_PREFIX.to_owned(),
            after: String::new(),
            limit: SWEEP,
        };
        loop {
            let page = self.kv.list(&list).await?;
            let keys = page.entries.iter().map(|entry| &entry.key);
            let obsolete: Vec<_> =
                keys.filter(|key| storage::obsolete(key, root.previous_fold)).collect();
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

/// Returns the error of a write that stopped before the root: nothing took effect.
fn unsent(error: platform::WriteError) -> platform::WriteError {
    match error {
        platform::WriteError::Unsure(detail) => platform::WriteError::Unavailable(detail),
        error => error,
    }
}
