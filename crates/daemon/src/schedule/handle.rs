//! The handle through which coordinators ask for permits and send reports.

use std::{sync, time};

use tokio::sync::{mpsc, watch};
use trefoildyke_types::{error, id, request, time::Timestamp};
use trefoildyke_wire::peer;

use crate::{
    clock, endpoints,
    schedule::{RequestEvent, SchedulerCalls, Settings, local, outbox},
};

/// The reason of a refusal by a daemon that does not schedule the shard.
const NO_SCHEDULER: &str = "no_scheduler";

/// The error of a scheduler that gave no answer; the caller asks the next scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the scheduler of the shard is lost; ask the one that took over")]
pub struct SchedulerLost;

/// Asks for permits and reports on permitted requests; published in the registry as `schedule`.
#[derive(Clone)]
pub struct Handle {
    pub(super) settings: Settings,
    pub(super) clock: clock::Clock,
    pub(super) scheduler_calls: SchedulerCalls,
    pub(super) local: sync::Arc<local::LocalShards>,
    pub(super) events: mpsc::UnboundedSender<outbox::ShardEvent>,
    pub(super) informed: watch::Receiver<outbox::Informed>,
}

impl Handle {
    /// Asks the scheduler of a shard for a permit and waits for it until `deadline`.
    ///
    /// If the scheduler is lost, this asks the one that takes over. Dropping the future gives up and
    /// tells the scheduler so.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request was shed or no scheduler answered before the deadline.
    pub async fn ask(
        &self,
        shard: &endpoints::Shard,
        mut ask: request::Ask,
        deadline: Timestamp,
    ) -> Result<request::Permit, request::Refusal> {
        loop {
            let left = deadline.since(self.clock.monotonic());
            if left.is_zero() {
                return Err(no_scheduler());
            }
            ask.left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            let scheduler = self.scheduler_calls.scheduler(shard);
            let answer = tokio::select! {
                answer = self.ask_once(scheduler, shard, ask.clone(), left) => answer,
                () = self.scheduler_calls.scheduler_changed(shard, scheduler) => continue,
            };
            match answer {
                Ok(answer) => return answer,
                Err(SchedulerLost) => tokio::time::sleep(self.settings.retry()).await,
            }
        }
    }

    /// Queues a report on a permitted request; never waits.
    pub fn report(&self, shard: &endpoints::Shard, event: RequestEvent) {
        // Sending fails only while the daemon ends; reports are not needed then.
        let _ = self.events.send(outbox::ShardEvent { shard: shard.clone(), event });
    }

    /// Registers the methods that peers call for scheduling.
    pub fn serve_peers(&self, methods: &mut peer::Methods) {
        let handle = self.clone();
        methods.ask = peer::Methods::method(move |_, request| {
            let handle = handle.clone();
            async move { handle.ask_for_peer(request).await }
        });
        let handle = self.clone();
        methods.report = peer::Methods::method(move |_, request| {
            let handle = handle.clone();
            async move { handle.report_for_peer(&request) }
        });
    }

    /// Waits until the scheduler knows this daemon's running requests, for at most the timeout of reports.
    ///
    /// A scheduler that has just taken over would otherwise grant the slots that they use.
    async fn wait_informed(&self, scheduler: id::Incarnation, shard: &endpoints::Shard) {
        let mut informed = self.informed.clone();
        let is_informed =
            |informed: &outbox::Informed| informed.get(shard).is_none_or(|it| *it == scheduler);
        let waited = informed.wait_for(is_informed);
        // After the timeout the request is asked for nevertheless, since reports may be delayed by others.
        let _ = tokio::time::timeout(self.settings.report(), waited).await;
    }

    async fn ask_once(
        &self,
        scheduler: Option<id::Incarnation>,
        shard: &endpoints::Shard,
        ask: request::Ask,
        left: time::Duration,
    ) -> Result<Result<request::Permit, request::Refusal>, SchedulerLost> {
        let scheduler = scheduler.ok_or(SchedulerLost)?;
        self.wait_informed(scheduler, shard).await;
        if scheduler == self.scheduler_calls.own {
            return self.local.ask(shard, ask).await;
        }
        let request =
            peer::AskRequest { pool: shard.pool.clone(), shard: u32::from(shard.number), ask };
        match (self.scheduler_calls.ask)(scheduler, request, left).await {
            Ok(Err(refusal)) if refusal.reason == NO_SCHEDULER => Err(SchedulerLost),
            Ok(answer) => Ok(answer),
            Err(error) => {
                log::info!(target: "schedule", "scheduler {scheduler} did not answer: {error}");
                Err(SchedulerLost)
            }
        }
    }

    async fn ask_for_peer(
        &self,
        request: peer::AskRequest,
    ) -> Result<request::Permit, request::Refusal> {
        let shard = shard_of(request.pool, request.shard);
        match self.local.ask(&shard, request.ask).await {
            Ok(answer) => answer,
            Err(SchedulerLost) => Err(no_scheduler()),
        }
    }

    fn report_for_peer(&self, request: &peer::ReportRequest) -> Result<(), error::Error> {
        let entries = request.reports.decode()?;
        let shard = shard_of(request.pool.clone(), request.shard);
        self.local.report(&shard, entries).map_err(|lost| {
            let kind = error::ErrorKind::Unavailable;
            error::Error::new(kind, lost.to_string())
        })
    }
}

fn shard_of(pool: id::PoolName, number: u32) -> endpoints::Shard {
    endpoints::Shard { pool, number: u16::try_from(number).unwrap_or(u16::MAX) }
}

fn no_scheduler() -> request::Refusal {
    let remedy = "no scheduler could be reached: send the request again";
    request::Refusal::new(request::RefusalKind::NotRun, NO_SCHEDULER, remedy).retry_after(200)
}
