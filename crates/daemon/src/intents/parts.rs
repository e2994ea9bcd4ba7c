//! Reads and writes the parts of slots.

use trefoildyke_decide::intents;
use trefoildyke_types::error;
use trefoildyke_wire::{platform, platform::message};

use crate::intents::Stats;

/// How many parts one read asks for.
const PAGE: usize = 16;

/// Reads and writes the parts of slots in the key-value service.
#[derive(Clone, Debug)]
pub(super) struct Parts {
    kv: platform::KvClient,
    stats: Stats,
}

impl Parts {
    pub(super) const fn new(kv: platform::KvClient, stats: Stats) -> Self {
        Self { kv, stats }
    }

    /// Carries out a commit's step, which is not [`intents::Step::Done`].
    pub(super) async fn carry_out(
        &self,
        slot: &intents::Slot,
        step: intents::Step,
    ) -> intents::Event {
        match step {
            intents::Step::Read { first } => match self.read(slot, first).await {
                Ok(found) => intents::Event::Found(found),
                Err(_) => intents::Event::Refused,
            },
            intents::Step::Write { index, expect, part } => {
                self.write(slot, index, expect, &part).await
            }
            intents::Step::Done => intents::Event::Refused,
        }
    }

    /// Reads some parts from `first` on; none if there are none.
    pub(super) async fn read(
        &self,
        slot: &intents::Slot,
        first: u32,
    ) -> Result<Vec<intents::Stored>, error::Error> {
        self.stats.read();
        let after = match first.checked_sub(1) {
            Some(before) => slot.part_key(before),
            None => String::new(),
        };
        let list = message::List { prefix: slot.prefix(), after, limit: PAGE };
        let reply = self.kv.list(&list).await.inspect_err(|_| self.stats.refuse())?;
        reply.entries.iter().map(parse).collect()
    }

    async fn write(
        &self,
        slot: &intents::Slot,
        index: u32,
        expect: u64,
        part: &intents::Part,
    ) -> intents::Event {
        let Ok(value) = serde_json::to_string(part) else {
            return intents::Event::Refused;
        };
        self.stats.write(value.len());
        let key = slot.part_key(index);
        let put = message::Put { key, value, expect: Some(expect), lease: None };
        match self.kv.put(&put).await {
            Ok(written) => intents::Event::Written { revision: written.revision },
            Err(platform::WriteError::Conflict(current)) => self.conflict(current.as_deref()),
            Err(platform::WriteError::Unsure(_)) => {
                self.stats.lose();
                intents::Event::Lost
            }
            Err(error) => {
                self.stats.refuse();
                log::debug!("a record was not written: {error}");
                intents::Event::Refused
            }
        }
    }

    fn conflict(&self, current: Option<&message::Entry>) -> intents::Event {
        self.stats.conflict();
        match current.map(parse).transpose() {
            Ok(stands) => intents::Event::Conflict(stands),
            Err(error) => {
                log::error!("{error}");
                intents::Event::Refused
            }
        }
    }
}

fn parse(entry: &message::Entry) -> Result<intents::Stored, error::Error> {
    let wrong = |detail: String| {
        error::Error::new(error::ErrorKind::Protocol, detail)
            .about(&entry.key)
            .remedy("keep other programs from writing below intents/")
    };
    let (_, index) =
        intents::Slot::parse(&entry.key).ok_or_else(|| wrong("the key names no part".into()))?;
    let part = serde_json::from_str(&entry.value).map_err(|error| wrong(error.to_string()))?;
    Ok(intents::Stored { index, revision: entry.revision, part })
}
