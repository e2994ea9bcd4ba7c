//! Asking another daemon what it knows of the store, instead of the store itself.

use std::{net, sync, time};

use tokio::sync::oneshot;
use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;

use crate::{feed, state};

/// How long an answer may take: some forty times the way there and back.
const ANSWER: time::Duration = time::Duration::from_millis(100);

/// From which age on a confirmation is too old to be passed on: a reader's own is at most one watch
/// old while its store answers.
const STALE: time::Duration = time::Duration::from_millis(1_500);

/// How old a list of endpoints may be that is passed on: a reader's period, and a slow answer.
const OLD_LIST: time::Duration = time::Duration::from_millis(1_300);

/// For how long an answer about the list of endpoints holds: two questions, one of them lost.
const HEARD: time::Duration = time::Duration::from_millis(1_000);

/// What this daemon was told last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard {
    at: Timestamp,
    known: gateway::Known,
}

/// Questions that wait for their answers.
#[derive(Debug, Default)]
pub(crate) struct Questions {
    waiting: sync::Mutex<Vec<(u64, oneshot::Sender<gateway::Known>)>>,
    heard: sync::Mutex<Option<Heard>>,
}

impl Questions {
    /// Takes in an answer; one that nobody waits for any more is dropped.
    pub(crate) fn told(&self, stamp: u64, known: gateway::Known) {
        let mut waiting = lock(&self.waiting);
        if let Some(place) = waiting.iter().position(|(waiting, _)| *waiting == stamp) {
            let (_, sender) = waiting.swap_remove(place);
            // The asker may have given up at the same moment.
            let _ = sender.send(known);
        }
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl feed::Feed {
    /// Says whether this daemon reads the store for others too.
    pub fn is_reader(&self) -> bool {
        self.shared.core().mesh.is_reader()
    }

    /// Asks those that read the store; confirms the configuration if one of them knows it fresh.
    ///
    /// Returns the version that is in force there, or `None` if nobody has a fresh answer.
    pub async fn ask(&self) -> Option<u64> {
        let readers = self.shared.core().mesh.readers();
        let own = self.shared.settings.listen.peers;
        for reader in readers.into_iter().filter(|reader| *reader != own) {
            let asked = self.now();
            let Some(known) = ask_one(&self.shared, reader, asked.as_micros()).await else {
                continue;
            };
            let age = time::Duration::from_millis(u64::from(known.confirmed));
            if age < STALE {
                self.believe(asked, known, age);
                return Some(known.version);
            }
        }
        None
    }

    /// Says whether the list of endpoints is known to be that of a daemon that reads it.
    pub fn endpoints_are_current(&self) -> bool {
        let Some(heard) = *lock(&self.shared.questions.heard) else { return false };
        let read = time::Duration::from_millis(u64::from(heard.known.read));
        let is_recent = self.now().since(heard.at) < HEARD && read < OLD_LIST;
        is_recent && self.shared.core().roster.mark() == heard.known.roster
    }

    /// Takes over what another daemon knew when it answered a question that was sent at `asked`.
    ///
    /// It answered after that, so what it knew is at most as old as it said, counted from then.
    fn believe(&self, asked: Timestamp, known: gateway::Known, age: time::Duration) {
        let before = |age: time::Duration| {
            Timestamp::from_micros(asked.as_micros().saturating_sub(age.as_micros() as u64))
        };
        let mut core = self.shared.core();
        let own = core.table.as_ref().map(|table| table.config().version);
        if own == Some(known.version) {
            core.freshness.confirm(before(age));
        }
        let steady = time::Duration::from_millis(u64::from(known.steady));
        if steady.is_zero() {
            core.roster.failed();
        } else {
            core.roster.assume_steady(before(steady));
        }
        drop(core);
        *lock(&self.shared.questions.heard) = Some(Heard { at: asked, known });
    }
}

async fn ask_one(
    shared: &state::Shared,
    reader: net::SocketAddr,
    stamp: u64,
) -> Option<gateway::Known> {
    let (sender, answer) = oneshot::channel();
    lock(&shared.questions.waiting).push((stamp, sender));
    shared.tell(&gateway::Message::Ask { stamp }, &[reader]);
    let answer = tokio::time::timeout(ANSWER, answer).await;
    lock(&shared.questions.waiting).retain(|(waiting, _)| *waiting != stamp);
    answer.ok()?.ok()
}
