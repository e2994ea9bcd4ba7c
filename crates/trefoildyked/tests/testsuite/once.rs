//! Calls that may not be repeated, counted at the service, through every fault at once.

use testbed::switch;
use trefoildyke_types::request;

use crate::{
    harness::{self, Outcome},
    letters::{Callers, is_refused, is_whole},
    switches,
};

const ENOUGH: usize = 15;

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
async fn letters_run_once_through_lost_answers_and_outages() {
    let cluster = harness::Cluster::start("once_service", layout()).await;
    let callers = callers(4, &cluster);
    callers.more("letters are answered", ENOUGH, is_whole).await;
    let lose = switch::Mode::new(switch::ModeKind::LoseAnswers);
    switches::set(&cluster.kv, &lose).await;
    callers.more("letters end while answers are lost", ENOUGH, is_any).await;
    switches::set(&cluster.kv, &switch::Mode::new(switch::ModeKind::Down)).await;
    callers.more("letters are refused in an outage", ENOUGH, is_not_run).await;
    switches::set(&cluster.kv, &switch::Mode::new(switch::ModeKind::Ok)).await;
    callers.more("letters are answered after the outage", ENOUGH, is_whole).await;
    switches::set(&cluster.kv, &switch::Mode::new(switch::ModeKind::Silent)).await;
    callers.more("letters are refused while the service is silent", ENOUGH, is_not_run).await;
    switches::set(&cluster.kv, &switch::Mode::new(switch::ModeKind::Ok)).await;
    callers.more("letters are answered in the end", ENOUGH, is_whole).await;
    let ledger = callers.end().await;
    ledger.check("lost answers and outages", &cluster.starts().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn letters_run_once_through_kills_and_lost_answers() {
    let layout = harness::Layout { daemons: 4, ..layout() };
    let mut cluster = harness::Cluster::start("once_kills", layout).await;
    let callers = callers(4, &cluster);
    callers.more("letters are answered", ENOUGH, is_whole).await;
    cluster.daemons[0].process.kill();
    callers.more("letters are answered after a kill", ENOUGH, is_whole).await;
    let lose = switch::Mode::new(switch::ModeKind::LoseAnswers);
    switches::set(&cluster.kv, &lose).await;
    cluster.daemons[1].process.kill();
    callers.more("letters end after a kill while answers are lost", ENOUGH, is_any).await;
    switches::set(&cluster.kv, &switch::Mode::new(switch::ModeKind::Ok)).await;
    callers.more("letters are answered in the end", ENOUGH, is_whole).await;
    let ledger = callers.end().await;
    ledger.check("kills and lost answers", &cluster.starts().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn letters_run_once_though_a_coordinator_freezes_and_goes_on() {
    let cluster = harness::Cluster::start("once_freeze", layout()).await;
    // Callers of the frozen daemon wait for it, so there must be others.
    let callers = callers(16, &cluster);
    callers.more("letters are answered", ENOUGH, is_whole).await;
    for _ in 0..3 {
        cluster.daemons[0].process.signal("STOP");
        callers.more("letters end while a daemon is frozen", ENOUGH, is_any).await;
        cluster.daemons[0].process.signal("CONT");
        callers.more("letters are answered after it goes on", ENOUGH, is_whole).await;
    }
    let ledger = callers.end().await;
    ledger.check("freezes", &cluster.starts().await);
}
