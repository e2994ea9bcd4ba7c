//! Non-idempotent calls run at most once under combined faults; the starts are counted at the service.

use testbed::switch;
use trefoildyke_types::request;

use crate::{
    control,
    harness::{self, Outcome},
    service_calls::{Callers, is_complete, is_refused},
};

const CALLS: usize = 15;

fn layout() -> harness::Layout {
    harness::Layout { engines: 0, services: 2, call_ms: 30, ..harness::Layout::default() }
}

fn callers(count: usize, cluster: &harness::Cluster) -> Callers {
    let daemons: Vec<_> = cluster.daemons.iter().map(|daemon| daemon.callers).collect();
    Callers::start(count, &daemons)
}

fn is_not_run(outcome: &Outcome) -> bool {
    is_refused(outcome, request::RefusalKind::NotRun)
}

fn is_any(_: &Outcome) -> bool {
    true
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_run_once_during_lost_answers_and_outages() {
    let cluster = harness::Cluster::start("once_service", layout()).await;
    let callers = callers(4, &cluster);
    callers.wait_for_more("calls are answered", CALLS, is_complete).await;
    let lose = switch::Mode::new(switch::ModeKind::LoseAnswers);
    control::set_mode(&cluster.kv, &lose).await;
    callers.wait_for_more("calls finish while answers are lost", CALLS, is_any).await;
    control::set_mode(&cluster.kv, &switch::Mode::new(switch::ModeKind::Down)).await;
    callers.wait_for_more("calls are refused in an outage", CALLS, is_not_run).await;
    control::set_mode(&cluster.kv, &switch::Mode::new(switch::ModeKind::Ok)).await;
    callers.wait_for_more("calls are answered after the outage", CALLS, is_complete).await;
    control::set_mode(&cluster.kv, &switch::Mode::new(switch::ModeKind::Silent)).await;
    callers.wait_for_more("calls are refused while the service is silent", CALLS, is_not_run).await;
    control::set_mode(&cluster.kv, &switch::Mode::new(switch::ModeKind::Ok)).await;
    callers.wait_for_more("calls are answered after the last fault", CALLS, is_complete).await;
    let outcomes = callers.finish().await;
    outcomes.check("lost answers and outages", &cluster.start_counts().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_run_once_during_kills_and_lost_answers() {
    let layout = harness::Layout { daemons: 4, ..layout() };
    let mut cluster = harness::Cluster::start("once_kills", layout).await;
    let callers = callers(4, &cluster);
    callers.wait_for_more("calls are answered", CALLS, is_complete).await;
    cluster.daemons[0].process.kill();
    callers.wait_for_more("calls are answered after a kill", CALLS, is_complete).await;
    let lose = switch::Mode::new(switch::ModeKind::LoseAnswers);
    control::set_mode(&cluster.kv, &lose).await;
    cluster.daemons[1].process.kill();
    callers.wait_for_more("calls finish after a kill while answers are lost", CALLS, is_any).await;
    control::set_mode(&cluster.kv, &switch::Mode::new(switch::ModeKind::Ok)).await;
    callers.wait_for_more("calls are answered after the last fault", CALLS, is_complete).await;
    let outcomes = callers.finish().await;
    outcomes.check("kills and lost answers", &cluster.start_counts().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_run_once_when_a_coordinator_freezes_and_resumes() {
    let cluster = harness::Cluster::start("once_freeze", layout()).await;
    // Callers of the frozen daemon block, so there must be enough callers for the other daemons.
    let callers = callers(16, &cluster);
    callers.wait_for_more("calls are answered", CALLS, is_complete).await;
    for _ in 0..3 {
        cluster.daemons[0].process.signal("STOP");
        callers.wait_for_more("calls finish while a daemon is frozen", CALLS, is_any).await;
        cluster.daemons[0].process.signal("CONT");
        callers.wait_for_more("calls are answered after it resumes", CALLS, is_complete).await;
    }
    let outcomes = callers.finish().await;
    outcomes.check("freezes", &cluster.start_counts().await);
}
