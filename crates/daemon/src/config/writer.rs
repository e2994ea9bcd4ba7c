//! Changes by compare-and-swap, settled before anything is said about them.

use std::sync;

use tokio::time;
use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::{error, id};
use trefoildyke_wire::platform;

use crate::config::{Handle, store};

/// The first and the longest wait between attempts.
const PAUSES: (time::Duration, time::Duration) =
    (time::Duration::from_millis(20), time::Duration::from_millis(640));

/// How long a change that was never sent is tried before it is refused.
///
/// A single read may fail although the service works: it may have closed the connection just then.
const PATIENCE: time::Duration = time::Duration::from_millis(500);

/// Holds what one writer knows of its change.
struct Attempt<'a> {
    handle: &'a Handle,
    set: &'a config::ChangeSet,
    nonce: id::Nonce,
    /// The version on top of which the change was last sent; `None` if it can be nowhere.
    sent: Option<u64>,
}

type Written = sync::Arc<config::Snapshot>;

/// Makes a change and returns once its outcome is known, or unsure after the time limit.
pub(crate) async fn write(
    handle: &Handle,
    set: &config::ChangeSet,
) -> Result<Written, error::Error> {
    let start = time::Instant::now();
    let deadline = start + handle.settings.write();
    let nonce = id::Nonce(rand::random());
    let mut attempt = Attempt { handle, set, nonce, sent: None };
    let mut pause = PAUSES.0;
    loop {
        let step = time::timeout_at(deadline, attempt.step()).await;
        match step {
            Ok(Ok(Some(snapshot))) => return Ok(snapshot),
            Ok(Ok(None)) => {}
            Ok(Err(error)) if !repeats(&error) => return Err(error),
            Ok(Err(error)) if attempt.sent.is_none() && start.elapsed() >= PATIENCE => {
                return Err(error);
            }
            Ok(Err(_)) => time::sleep_until((time::Instant::now() + pause).min(deadline)).await,
            Err(_) => {}
        }
        pause = (pause * 2).min(PAUSES.1);
        if time::Instant::now() >= deadline {
            return Err(attempt.late());
        }
    }
}

/// Returns whether the error may pass.
const fn repeats(error: &error::Error) -> bool {
    matches!(error.kind, error::ErrorKind::Unavailable | error::ErrorKind::Unsure)
}

impl Attempt<'_> {
    /// Goes one step and returns the snapshot with the change, if it is confirmed.
    ///
    /// A change whose outcome is open is sent again on the same revision: it can then take effect
    /// only once, and either answer settles it.
    async fn step(&mut self) -> Result<Option<Written>, error::Error> {
        let stored = self.handle.store.read().await?;
        if let Some(base) = self.sent {
            match stored.root.outcome(base, self.nonce) {
                storage::Outcome::Applied => return self.adopt(stored).await.map(Some),
                storage::Outcome::Lost => self.sent = None,
                storage::Outcome::Open => {}
                storage::Outcome::Forgotten => return Err(forgotten()),
            }
        }
        let (stored, snapshot) = self.base(stored).await?;
        let plan = storage::plan(&stored.root, &snapshot, self.set, self.nonce)?;
        self.send(&stored, &plan).await
    }

    /// Returns what to build on: what the service holds, once it holds what is in force here.
    async fn base(
        &self,
        stored: store::Stored,
    ) -> Result<(store::Stored, sync::Arc<config::Snapshot>), error::Error> {
        let have = self.handle.snapshot();
        let store = &self.handle.store;
        if stored.root.version >= have.version() {
            return store.load(stored, &have).await;
        }
        store.restore(&stored, &have).await?;
        let restored = store.read().await?;
        store.load(restored, &have).await
    }

    async fn send(
        &mut self,
        stored: &store::Stored,
        plan: &storage::Plan,
    ) -> Result<Option<Written>, error::Error> {
        let known_before = self.sent;
        self.sent = Some(stored.root.version);
        match self.handle.store.write(plan, stored.revision).await {
            Ok(()) => self.confirmed(plan).await.map(Some),
            Err(platform::WriteError::Conflict(_)) => Ok(None),
            Err(
                error @ (platform::WriteError::Unavailable(_) | platform::WriteError::Invalid(_)),
            ) => {
                self.sent = known_before;
                Err(error.error())
            }
            Err(error) => Err(error.error()),
        }
    }

    async fn confirmed(&self, plan: &storage::Plan) -> Result<Written, error::Error> {
        let adopted = match &plan.change {
            Some(change) => self.handle.extend(vec![change.clone()]).await,
            None => Ok(self.handle.snapshot()),
        };
        if !adopted.is_ok_and(|snapshot| snapshot.version() >= plan.root.version) {
            self.handle.replace(sync::Arc::clone(&plan.snapshot)).await?;
        }
        if !plan.chunks.is_empty()
            && let Err(error) = self.handle.store.sweep(&plan.root).await
        {
            log::warn!(target: "config", "old chunks stay until the next fold: {error}");
        }
        Ok(sync::Arc::clone(&plan.snapshot))
    }

    async fn adopt(&self, stored: store::Stored) -> Result<Written, error::Error> {
        let have = self.handle.snapshot();
        let (_, snapshot) = self.handle.store.load(stored, &have).await?;
        self.handle.replace(snapshot).await
    }

    fn late(&self) -> error::Error {
        let limit = self.handle.settings.write_ms;
        match self.sent {
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

fn forgotten() -> error::Error {
    error::Error::new(error::ErrorKind::Unsure, "too many changes followed to tell the outcome")
        .remedy("get the resource and compare before sending the change again")
}
