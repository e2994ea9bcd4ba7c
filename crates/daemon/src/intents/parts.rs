//! The store of the parts of slots.

use trefoildyke_decide::intents;
use trefoildyke_types::error;
use trefoildyke_wire::{platform, platform::message};

use crate::intents::Stats;

/// The maximum number of parts that one read returns.
const PAGE_SIZE: usize = 16;

/// A store that reads and writes the parts of slots in the key-value service.
#[derive(Clone, Debug)]
pub(super) struct PartStore {
    kv: platform::KvClient,
    stats: Stats,
}

impl PartStore {
    pub(super) const fn new(kv: platform::KvClient, stats: Stats) -> Self {
        Self { kv, stats }
    }

    /// Executes a step of a commit; the step must not be [`intents::Step::Done`].
    pub(super) async fn execute(
        &self,
        slot: &intents::Slot,
        step: intents::Step,
    ) -> intents::StepResult {
        match step {
            intents::Step::Read { first } => match self.read(slot, first).await {
                Ok(found) => intents::StepResult::Found(found),
                Err(_) => intents::StepResult::Refused,
            },
            intents::Step::Write { index, expected_revision, part } => {
                self.write(slot, index, expected_revision, &part).await
            }
            intents::Step::Done => intents::StepResult::Refused,
        }
    }

    /// Reads the parts from index `first` on, at most `PAGE_SIZE`; returns none if there are none.
    pub(super) async fn read(
        &self,
        slot: &intents::Slot,
        first: u32,
    ) -> Result<Vec<intents::Stored>, error::Error> {
        self.stats.count_read();
        let after = match first.checked_sub(1) {
            Some(previous) => slot.part_key(previous),
            None => String::new(),
        };
        let list = message::List { prefix: slot.prefix(), after, limit: PAGE_SIZE };
        let reply = self.kv.list(&list).await.inspect_err(|_| self.stats.count_refused())?;
        reply.entries.iter().map(parse).collect()
    }

    async fn write(
        &self,
        slot: &intents::Slot,
        index: u32,
        expected_revision: u64,
        part: &intents::Part,
    ) -> intents::StepResult {
        let Ok(value) = serde_json::to_string(part) else {
            return intents::StepResult::Refused;
        };
        self.stats.count_write(value.len());
        let key = slot.part_key(index);
        let put = message::Put { key, value, expect: Some(expected_revision), lease: None };
        match self.kv.put(&put).await {
            Ok(written) => intents::StepResult::Written { revision: written.revision },
            Err(platform::WriteError::Conflict(current)) => self.conflict(current.as_deref()),
            Err(platform::WriteError::Unsure(_)) => {
                self.stats.count_lost();
                intents::StepResult::Unanswered
            }
            Err(error) => {
                self.stats.count_refused();
                log::debug!("failed to write records: {error}");
                intents::StepResult::Refused
            }
        }
    }

    fn conflict(&self, current: Option<&message::Entry>) -> intents::StepResult {
        self.stats.count_conflict();
        match current.map(parse).transpose() {
            Ok(existing) => intents::StepResult::Conflict(existing),
            Err(error) => {
                log::error!("{error}");
                intents::StepResult::Refused
            }
        }
    }
}

fn parse(entry: &message::Entry) -> Result<intents::Stored, error::Error> {
    let invalid = |detail: String| {
        error::Error::new(error::ErrorKind::Protocol, detail)
            .about(&entry.key)
            .remedy("keep other programs from writing below intents/")
    };
    let (_, index) =
        intents::Slot::parse(&entry.key).ok_or_else(|| invalid("the key names no part".into()))?;
    let part = serde_json::from_str(&entry.value).map_err(|error| invalid(error.to_string()))?;
    Ok(intents::Stored { index, revision: entry.revision, part })
}
