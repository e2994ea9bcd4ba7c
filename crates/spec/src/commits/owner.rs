//! One daemon that believes it owns the bucket.

use trefoildyke_decide::intents;
use trefoildyke_types::{id, request};

use crate::commits::Bounds;

/// When the request ids were created, in milliseconds since the Unix epoch.
pub(super) const CREATED_MS: u64 = 1_000_000;

/// The phase of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The commit can choose its next step.
    Ready,
    /// A read or write is in flight to the service.
    Asked(intents::Step),
    /// The result of the read or write is in flight to the daemon.
    Answered(intents::StepResult),
    /// The commit has ended.
    Ended,
}

/// One daemon and its commit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Owner {
    /// The commit.
    pub commit: intents::Commit,
    /// The phase of the commit.
    pub phase: Phase,
    /// The number of further commits that the daemon may attempt.
    pub rounds: u8,
    /// The records of the commit.
    pub rows: Vec<intents::Row>,
    /// Whether an earlier commit left the outcome of these records unknown.
    pub unknown: bool,
}

impl Owner {
    pub(super) fn new(bounds: &Bounds, owner: usize) -> Self {
        let rows = rows(owner);
        let commit = commit(bounds, intents::SlotCache::default(), rows.clone());
        let rounds = bounds.rounds - 1;
        Self { commit, phase: Phase::Ready, rounds, rows, unknown: false }
    }

    /// Ends the commit and returns its outcomes; commits the records with an unknown outcome again while
    /// rounds remain.
    pub(super) fn finish(&mut self, bounds: &Bounds, now_ms: u64) -> Vec<intents::Outcome> {
        let (cache, outcomes) = self.commit.clone().finish(now_ms);
        let unknown = |(row, outcome): (&intents::Row, &intents::Outcome)| {
            (*outcome == intents::Outcome::Unknown).then(|| row.clone())
        };
        self.rows = self.rows.iter().zip(&outcomes).filter_map(unknown).collect();
        self.unknown = true;
        self.phase = Phase::Ended;
        if self.rounds > 0 && !self.rows.is_empty() {
            self.rounds -= 1;
            self.phase = Phase::Ready;
            self.commit = commit(bounds, cache, self.rows.clone());
        }
        outcomes
    }
}

/// Returns the records that a daemon commits.
fn rows(owner: usize) -> Vec<intents::Row> {
    let shared = row(0, owner as u64 + 1);
    if owner == 0 { vec![shared, row(1, 3)] } else { vec![shared] }
}

fn commit(bounds: &Bounds, cache: intents::SlotCache, rows: Vec<intents::Row>) -> intents::Commit {
    intents::Commit::new(cache, bounds.retention(), bounds.limit, rows)
}

fn row(request: u8, nonce: u64) -> intents::Row {
    let mut bytes = [0; 10];
    bytes[9] = request;
    let uuid = uuid::Builder::from_unix_timestamp_millis(CREATED_MS, &bytes).into_uuid();
    let key = id::RequestKey { account: "a".into(), id: id::RequestId::chosen(uuid) };
    let intent = request::Intent {
        coordinator: id::Incarnation::from_u64(nonce),
        nonce: id::Nonce(nonce),
        endpoint: "e".into(),
        fingerprint: 0,
    };
    intents::Row { key, record: request::Record::Intent(intent) }
}
