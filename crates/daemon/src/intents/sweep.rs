//! Deletes slots whose retention is over.

use std::time;

use trefoildyke_decide::intents;
use trefoildyke_types::error;
use trefoildyke_wire::{platform, platform::message};

use crate::intents::{Route, Stats, driver};

/// How many parts one read shows.
const PAGE: usize = 8;

/// The least time between two deletions, so that a sweep leaves the service's writes to others.
const PACE: time::Duration = time::Duration::from_millis(50);

/// The bucket number whose owner sweeps; no real bucket has it.
const SWEEPER: u32 = u32::MAX;

/// Deletes slots whose retention is over.
///
/// Any number of daemons may sweep at once. Parts of a slot are deleted in order, so that a slot
/// with parts missing is recognised by its first.
pub(super) struct Sweep {
    pub(super) layout: intents::Layout,
    pub(super) route: Route,
    pub(super) kv: platform::KvClient,
    pub(super) stats: Stats,
}

impl Sweep {
    /// Sweeps twice in each time slice; it can end at any point.
    pub(super) async fn run(self) {
        let pause = time::Duration::from_millis((self.layout.slice_ms / 2).max(1));
        loop {
            if self.route.owns(intents::Slot::owner_key(SWEEPER))
                && let Err(error) = self.sweep().await
            {
                log::debug!("old records were not deleted: {error}");
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn sweep(&self) -> Result<(), error::Error> {
        let prefix = intents::Slot::PREFIX.to_owned();
        let list = message::List { prefix, after: String::new(), limit: PAGE };
        loop {
            let found = self.kv.list(&list).await?.entries;
            let is_over = |entry: &&message::Entry| self.is_over(&entry.key);
            let over: Vec<_> = found.iter().take_while(is_over).collect();
            for entry in &over {
                let key = entry.key.clone();
                let delete = message::Delete { key, expect: Some(entry.revision) };
                self.kv.delete(&delete).await.map_err(|error| error.error())?;
                self.stats.delete();
                tokio::time::sleep(PACE).await;
            }
            if over.len() < PAGE {
                return Ok(());
            }
        }
    }

    fn is_over(&self, key: &str) -> bool {
        let Some((slot, _)) = intents::Slot::parse(key) else {
            return false;
        };
        self.layout.is_over(slot.slice, driver::unix_ms())
    }
}
