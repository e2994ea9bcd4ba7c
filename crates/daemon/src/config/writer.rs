//! Changes by compare-and-swap, whose outcome is determined before it is reported.

use std::sync;

use tokio::time;
use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::{error, id};
use trefoildyke_wire::platform;

use crate::config::{Handle, store};

/// The initial and the maximum backoff between attempts.
const BACKOFF: (time::Duration, time::Duration) =
    (time::Duration::from_millis(20), time::Duration::from_millis(640));

/// How long a change is retried after transient errors if no write that was sent can still take effect.
///
/// A single read can fail although the service works, because the service may just have closed the
/// connection.
const UNSENT_RETRY_LIMIT: time::Duration = time::Duration::from_millis(500);

/// The state of one change that is being written.
struct Attempt<'a> {
    handle: &'a Handle,
    set: &'a config::ChangeSet,
    nonce: id::Nonce,
    /// The base version of the last write that may take effect; `None` if there is no such write.
    pending_base: Option<u64>,
}

type Adopted = sync::Arc<config::Snapshot>;

/// Makes a change and returns once its outcome is known or the time limit has passed.
///
/// After the time limit, the error is `Unsure` if the change may have taken effect or may still do so,
/// otherwise `Unavailable`.
pub(crate) async fn write(
    handle: &Handle,
    set: &config::ChangeSet,
) -> Result<Adopted, error::Error> {
    let start = time::Instant::now();
    let deadline = start + handle.settings.write();
    let nonce = id::Nonce(rand::random());
    let mut attempt = Attempt { handle, set, nonce, pending_base: None };
    let mut backoff = BACKOFF.0;
    loop {
        let step = time::timeout_at(deadline, attempt.step()).await;
        match step {
            Ok(Ok(Some(snapshot))) => return Ok(snapshot),
            Ok(Ok(None)) => {}
            Ok(Err(error)) if !is_transient(&error) => return Err(error),
            Ok(Err(error))
                if attempt.pending_base.is_none() && start.elapsed() >= UNSENT_RETRY_LIMIT =>
            {
                return Err(error);
            }
            Ok(Err(_)) => time::sleep_until((time::Instant::now() + backoff).min(deadline)).await,
            Err(_) => {}
        }
        backoff = (backoff * 2).min(BACKOFF.1);
        if time::Instant::now() >= deadline {
            return Err(attempt.timeout_error());
        }
    }
}

/// Returns whether a retry after the error may succeed.
const fn is_transient(error: &error::Error) -> bool {
    matches!(error.kind, error::ErrorKind::Unavailable | error::ErrorKind::Unsure)
}

impl Attempt<'_> {
    /// Makes one attempt and returns the snapshot with the change if the change is confirmed.
    ///
    /// A change whose outcome is open is sent again with the same revision. It can then take effect only
    /// once, and an answer to either write determines the outcome.
    async fn step(&mut self) -> Result<Option<Adopted>, error::Error> {
        let stored = self.handle.store.read().await?;
        if let Some(base) = self.pending_base {
            match stored.root.outcome(base, self.nonce) {
                storage::Outcome::Applied => return self.adopt(stored).await.map(Some),
                storage::Outcome::Superseded => self.pending_base = None,
                storage::Outcome::Pending => {}
                storage::Outcome::Unknown => return Err(outcome_unknown()),
            }
        }
        let (stored, snapshot) = self.load_base(stored).await?;
        let plan = storage::plan(&stored.root, &snapshot, self.set, self.nonce)?;
        self.send(&stored, &plan).await
    }

    /// Returns the root and the snapshot on which to base the change.
    ///
    /// If the service holds an older version than this daemon, the current snapshot is restored first.
    async fn load_base(
        &self,
        stored: store::StoredRoot,
    ) -> Result<(store::StoredRoot, sync::Arc<config::Snapshot>), error::Error> {
        let current = self.handle.snapshot();
        let store = &self.handle.store;
        if stored.root.version >= current.version() {
            return store.load(stored, &current).await;
        }
        store.restore(&stored, &current).await?;
        let restored = store.read().await?;
        store.load(restored, &current).await
    }

    /// Writes a plan and returns its snapshot, or `None` if another write came first.
    async fn send(
        &mut self,
        stored: &store::StoredRoot,
        plan: &storage::Plan,
    ) -> Result<Option<Adopted>, error::Error> {
        let previous_base = self.pending_base;
        self.pending_base = Some(stored.root.version);
        match self.handle.store.write(plan, stored.revision).await {
            Ok(()) => self.confirm(plan).await.map(Some),
            Err(platform::WriteError::Conflict(_)) => Ok(None),
            Err(
                error @ (platform::WriteError::Unavailable(_) | platform::WriteError::Invalid(_)),
            ) => {
                self.pending_base = previous_base;
                Err(error.error())
            }
            Err(error) => Err(error.error()),
        }
    }

    /// Adopts a written plan, and deletes obsolete chunks if the plan wrote new ones.
    async fn confirm(&self, plan: &storage::Plan) -> Result<Adopted, error::Error> {
        let adopted = match &plan.change {
            Some(change) => self.handle.extend(vec![change.clone()]).await,
            None => Ok(self.handle.snapshot()),
        };
        if !adopted.is_ok_and(|snapshot| snapshot.version() >= plan.root.version) {
            self.handle.replace(sync::Arc::clone(&plan.snapshot)).await?;
        }
        if !plan.chunks.is_empty()
            && let Err(error) = self.handle.store.delete_obsolete(&plan.root).await
        {
            log::warn!(target: "config", "failed to delete obsolete chunks: {error}");
        }
        Ok(sync::Arc::clone(&plan.snapshot))
    }

    async fn adopt(&self, stored: store::StoredRoot) -> Result<Adopted, error::Error> {
        let current = self.handle.snapshot();
        let (_, snapshot) = self.handle.store.load(stored, &current).await?;
        self.handle.replace(snapshot).await
    }

    fn timeout_error(&self) -> error::Error {
        let limit = self.handle.settings.write_ms;
        match self.pending_base {
            None => error::Error::new(
                error::ErrorKind::Unavailable,
                format!("the key-value service took no write within {limit} ms; nothing changed"),
            ),
            Some(_) => error::Error::new(
                error::ErrorKind::Unsure,
                format!("no answer within {limit} ms; the change may have been or may yet be made"),
            )
            .remedy("get the resource and compare before sending the change again"),
        }
    }
}

fn outcome_unknown() -> error::Error {
    error::Error::new(error::ErrorKind::Unsure, "too many changes followed to tell the outcome")
        .remedy("get the resource and compare before sending the change again")
}
