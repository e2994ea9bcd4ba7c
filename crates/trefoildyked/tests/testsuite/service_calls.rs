//! Concurrent callers that send non-idempotent service calls one after the other and retry them.

use std::{collections, net, sync, time};

use tokio::task;
use trefoildyke_types::{id, request};

use crate::harness::{self, caller};

const MAX_ATTEMPTS: u32 = 4;

/// The last outcome of each call.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) by_id: collections::BTreeMap<id::RequestId, harness::Outcome>,
}

impl Outcomes {
    /// Returns how many outcomes match a predicate.
    pub(crate) fn count(&self, predicate: impl Fn(&harness::Outcome) -> bool) -> usize {
        self.by_id.values().filter(|outcome| predicate(outcome)).count()
    }

    /// Checks every outcome against the calls that the services started; prints the counts.
    pub(crate) fn check(&self, name: &str, starts: &collections::BTreeMap<String, u32>) {
        assert!(starts.values().all(|count| *count <= 1), "a call ran twice: {starts:?}");
        for (id, outcome) in &self.by_id {
            let started = starts.get(&format!("cascadia/{id}")).copied().unwrap_or(0);
            match outcome {
                harness::Outcome::Complete(..) => assert_eq!(started, 1, "{id} was answered"),
                harness::Outcome::Refused(refusal) if is_not_run(refusal) => {
                    assert_eq!(started, 0, "{id} was refused as not run: {refusal}");
                }
                harness::Outcome::Refused(refusal) => {
                    let caller_errors =
                        [request::RefusalKind::Unauthorized, request::RefusalKind::Invalid];
                    assert!(!caller_errors.contains(&refusal.kind), "{id}: {refusal}");
                }
                harness::Outcome::Broken(..) => {}
            }
        }
        let mut reasons = collections::BTreeMap::<String, usize>::new();
        for outcome in self.by_id.values() {
            *reasons.entry(outcome_name(outcome)).or_default() += 1;
        }
        println!("{name}: {} calls, {} started: {reasons:?}", self.by_id.len(), starts.len());
    }
}

fn outcome_name(outcome: &harness::Outcome) -> String {
    match outcome {
        harness::Outcome::Complete(..) => "answered".to_owned(),
        harness::Outcome::Refused(refusal) => format!("{:?} {}", refusal.kind, refusal.reason),
        harness::Outcome::Broken(..) => "broken".to_owned(),
    }
}

pub(crate) fn is_complete(outcome: &harness::Outcome) -> bool {
    matches!(outcome, harness::Outcome::Complete(..))
}

pub(crate) fn is_refused(outcome: &harness::Outcome, kind: request::RefusalKind) -> bool {
    matches!(outcome, harness::Outcome::Refused(refusal) if refusal.kind == kind)
}

fn is_not_run(refusal: &request::Refusal) -> bool {
    refusal.kind == request::RefusalKind::NotRun
}

/// Running callers; they are aborted when dropped.
pub(crate) struct Callers {
    outcomes: sync::Arc<sync::Mutex<Outcomes>>,
    tasks: task::JoinSet<()>,
    stop: tokio::sync::watch::Sender<bool>,
}

impl Callers {
    /// Starts callers, each of which sends one call after the other.
    pub(crate) fn start(count: usize, daemons: &[net::SocketAddr]) -> Self {
        let outcomes = sync::Arc::<sync::Mutex<Outcomes>>::default();
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let mut tasks = task::JoinSet::new();
        for number in 0..count {
            let (outcomes, stopped) = (sync::Arc::clone(&outcomes), stopped.clone());
            let daemons = daemons.to_vec();
            tasks.spawn(async move {
                let client = harness::Caller::default();
                let mut first = number;
                while !*stopped.borrow() {
                    let id = caller::new_id();
                    let outcome = send(&client, &daemons, first, id).await;
                    outcomes.lock().unwrap().by_id.insert(id, outcome);
                    first += 1;
                }
            });
        }
        Self { outcomes, tasks, stop }
    }

    /// Waits until `count` more outcomes match a predicate.
    pub(crate) async fn wait_for_more(
        &self,
        what: &str,
        count: usize,
        predicate: impl Fn(&harness::Outcome) -> bool + Copy,
    ) {
        let target = self.outcomes.lock().unwrap().count(predicate) + count;
        harness::wait_until(what, async || {
            (self.outcomes.lock().unwrap().count(predicate) >= target).then_some(())
        })
        .await;
    }

    /// Lets every caller finish its current call and returns all outcomes.
    pub(crate) async fn finish(mut self) -> Outcomes {
        self.stop.send_replace(true);
        let all = async { while self.tasks.join_next().await.transpose().unwrap().is_some() {} };
        tokio::time::timeout(harness::WAIT_TIMEOUT, all).await.unwrap();
        std::mem::take(&mut self.outcomes.lock().unwrap())
    }
}

/// Sends one call until its outcome is known, with at most `MAX_ATTEMPTS` attempts, each at the next daemon.
async fn send(
    client: &harness::Caller,
    daemons: &[net::SocketAddr],
    first: usize,
    id: id::RequestId,
) -> harness::Outcome {
    let mut last = harness::Outcome::Broken(None, 0);
    for attempt in 1..=MAX_ATTEMPTS {
        let daemon = daemons[(first + attempt as usize) % daemons.len()];
        let spec = request::RequestSpec { attempt, ..caller::service_request(id) };
        last = client.call(daemon, &spec).await;
        let delay_ms = match &last {
            harness::Outcome::Refused(refusal) if !is_not_run(refusal) => refusal.retry_after_ms,
            harness::Outcome::Broken(..) => Some(20),
            _ => None,
        };
        let Some(delay_ms) = delay_ms else { break };
        tokio::time::sleep(time::Duration::from_millis(delay_ms.min(500))).await;
    }
    last
}
