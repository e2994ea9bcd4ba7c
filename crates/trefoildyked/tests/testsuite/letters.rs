//! Callers that send letters one after the other and retry as callers do.

use std::{collections, net, sync, time};

use tokio::task;
use trefoildyke_types::{id, request};

use crate::harness::{self, caller};

const ATTEMPTS: u32 = 4;

/// What became of each letter.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) ended: collections::BTreeMap<id::RequestId, harness::Outcome>,
}

impl Ledger {
    /// Returns how many letters ended as `which` says.
    pub(crate) fn count(&self, which: impl Fn(&harness::Outcome) -> bool) -> usize {
        self.ended.values().filter(|outcome| which(outcome)).count()
    }

    /// Checks every letter against what the services have started; prints the counts.
    pub(crate) fn check(&self, name: &str, starts: &collections::BTreeMap<String, u32>) {
        assert!(starts.values().all(|count| *count <= 1), "run twice: {starts:?}");
        for (id, outcome) in &self.ended {
            let started = starts.get(&format!("cascadia/{id}")).copied().unwrap_or(0);
            match outcome {
                harness::Outcome::Whole(..) => assert_eq!(started, 1, "{id} was answered"),
                harness::Outcome::Refused(refusal) if is_not_run(refusal) => {
                    assert_eq!(started, 0, "{id} was refused as not run: {refusal}");
                }
                harness::Outcome::Refused(refusal) => {
                    let at_fault =
                        [request::RefusalKind::Unauthorized, request::RefusalKind::Invalid];
                    assert!(!at_fault.contains(&refusal.kind), "{id}: {refusal}");
                }
                harness::Outcome::Broken(..) => {}
            }
        }
        let mut reasons = collections::BTreeMap::<String, usize>::new();
        for outcome in self.ended.values() {
            *reasons.entry(name_of(outcome)).or_default() += 1;
        }
        println!("{name}: {} letters, {} started: {reasons:?}", self.ended.len(), starts.len());
    }
}

fn name_of(outcome: &harness::Outcome) -> String {
    match outcome {
        harness::Outcome::Whole(..) => "answered".to_owned(),
        harness::Outcome::Refused(refusal) => format!("{:?} {}", refusal.kind, refusal.reason),
        harness::Outcome::Broken(..) => "broken".to_owned(),
    }
}

pub(crate) fn is_whole(outcome: &harness::Outcome) -> bool {
    matches!(outcome, harness::Outcome::Whole(..))
}

pub(crate) fn is_refused(outcome: &harness::Outcome, kind: request::RefusalKind) -> bool {
    matches!(outcome, harness::Outcome::Refused(refusal) if refusal.kind == kind)
}

fn is_not_run(refusal: &request::Refusal) -> bool {
    refusal.kind == request::RefusalKind::NotRun
}

/// Callers at work; they end when dropped.
pub(crate) struct Callers {
    ledger: sync::Arc<sync::Mutex<Ledger>>,
    tasks: task::JoinSet<()>,
    stop: tokio::sync::watch::Sender<bool>,
}

impl Callers {
    /// Starts callers, each of which sends one letter after the other.
    pub(crate) fn start(count: usize, daemons: &[net::SocketAddr]) -> Self {
        let ledger = sync::Arc::<sync::Mutex<Ledger>>::default();
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let mut tasks = task::JoinSet::new();
        for number in 0..count {
            let (ledger, stopped) = (sync::Arc::clone(&ledger), stopped.clone());
            let daemons = daemons.to_vec();
            tasks.spawn(async move {
                let client = harness::Caller::default();
                let mut first = number;
                while !*stopped.borrow() {
                    let id = caller::fresh();
                    let outcome = send(&client, &daemons, first, id).await;
                    ledger.lock().unwrap().ended.insert(id, outcome);
                    first += 1;
                }
            });
        }
        Self { ledger, tasks, stop }
    }

    /// Waits until `count` more letters have ended as `which` says.
    pub(crate) async fn more(
        &self,
        what: &str,
        count: usize,
        which: impl Fn(&harness::Outcome) -> bool + Copy,
    ) {
        let goal = self.ledger.lock().unwrap().count(which) + count;
        harness::until(what, async || {
            (self.ledger.lock().unwrap().count(which) >= goal).then_some(())
        })
        .await;
    }

    /// Lets every caller end its letter and returns what became of all.
    pub(crate) async fn end(mut self) -> Ledger {
        self.stop.send_replace(true);
        let all = async { while self.tasks.join_next().await.transpose().unwrap().is_some() {} };
        tokio::time::timeout(harness::LONG, all).await.unwrap();
        std::mem::take(&mut self.ledger.lock().unwrap())
    }
}

/// Sends one letter, to another daemon each time, until its outcome is certain.
async fn send(
    client: &harness::Caller,
    daemons: &[net::SocketAddr],
    first: usize,
    id: id::RequestId,
) -> harness::Outcome {
    let mut last = harness::Outcome::Broken(None, 0);
    for attempt in 1..=ATTEMPTS {
        let daemon = daemons[(first + attempt as usize) % daemons.len()];
        let spec = request::RequestSpec { attempt, ..caller::letter(id) };
        last = client.ask(daemon, &spec).await;
        let pause = match &last {
            harness::Outcome::Refused(refusal) if !is_not_run(refusal) => refusal.retry_after_ms,
            harness::Outcome::Broken(..) => Some(20),
            _ => None,
        };
        let Some(pause) = pause else { break };
        tokio::time::sleep(time::Duration::from_millis(pause.min(500))).await;
    }
    last
}
