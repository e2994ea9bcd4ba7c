//! The sweep, which deletes slots whose retention has ended.

use std::time;

use trefoildyke_decide::intents;
use trefoildyke_types::error;
use trefoildyke_wire::{platform, platform::message};

use crate::intents::{Route, Stats, driver};

/// The maximum number of parts that one list call returns.
const PAGE_SIZE: usize = 8;

/// The minimum interval between two deletions, which leaves write capacity of the service to others.
const DELETE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The reserved bucket number whose owner sweeps; no bucket with records has this number.
const SWEEP_BUCKET: u32 = u32::MAX;

/// The task that deletes slots whose retention has ended.
///
/// Any number of daemons may sweep at the same time. The parts of a slot are deleted in order, so that a
/// partly deleted slot can be recognized by its missing first part.
pub(super) struct Sweep {
    pub(super) layout: intents::Layout,
    pub(super) route: Route,
    pub(super) kv: platform::KvClient,
    pub(super) stats: Stats,
}

impl Sweep {
    /// Sweeps twice per time slice; can be cancelled at any await point.
    pub(super) async fn run(self) {
        let pause = time::Duration::from_millis((self.layout.slice_ms / 2).max(1));
        loop {
            if self.route.owns(intents::Slot::owner_hash(SWEEP_BUCKET))
                && let Err(error) = self.sweep().await
            {
                log::debug!("failed to delete expired records: {error}");
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn sweep(&self) -> Result<(), error::Error> {
        let prefix = intents::Slot::PREFIX.to_owned();
        let list = message::List { prefix, after: String::new(), limit: PAGE_SIZE };
        loop {
            let found = self.kv.list(&list).await?.entries;
            let is_expired = |entry: &&message::Entry| self.is_expired(&entry.key);
            let expired: Vec<_> = found.iter().take_while(is_expired).collect();
            for entry in &expired {
                let key = entry.key.clone();
                let delete = message::Delete { key, expect: Some(entry.revision) };
                self.kv.delete(&delete).await.map_err(|error| error.error())?;
                self.stats.count_deleted();
                tokio::time::sleep(DELETE_INTERVAL).await;
            }
            if expired.len() < PAGE_SIZE {
                return Ok(());
            }
        }
    }

    fn is_expired(&self, key: &str) -> bool {
        let Some((slot, _)) = intents::Slot::parse(key) else {
            return false;
        };
        self.layout.is_expired(slot.slice, driver::unix_ms())
    }
}
