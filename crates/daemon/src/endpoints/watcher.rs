//! The task that watches the endpoints of one shard.

use std::{collections, sync, sync::atomic, time};

use futures::{StreamExt as _, future::BoxFuture, stream};
use tokio::sync::{mpsc, watch};
use trefoildyke_decide::{config, endpoints as decisions, schedule};
use trefoildyke_types::{engine, id, resource, time::Timestamp};

use crate::{
    endpoints::{self, poll_result, poller},
    hosts,
};

/// The interval at which the watcher starts due calls and updates the endpoints' states.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The longest plausible age of a load report. A timestamp that is older, or lies in the future, is not
/// trusted, because the clock of the endpoint must be wrong.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(10);
/// The age assumed for a report whose timestamp is not trusted.
const DEFAULT_REPORT_AGE: time::Duration = time::Duration::from_secs(1);

/// The inputs of a watcher.
#[derive(Debug)]
pub(super) struct Sources {
    pub(super) config: watch::Receiver<sync::Arc<config::Snapshot>>,
    pub(super) hosts: watch::Receiver<Option<hosts::HostsRead>>,
    pub(super) probes: mpsc::Receiver<id::EndpointName>,
}

/// Watches the endpoints of one shard; run it on the control thread.
#[must_use = "a watcher does nothing until it runs"]
pub struct Watcher {
    settings: endpoints::Settings,
    pool: id::PoolName,
    /// Whether the pool's endpoints are model engines.
    is_engine: bool,
    sources: Sources,
    origin: tokio::time::Instant,
    feed: mpsc::Sender<schedule::Input>,
    states: decisions::EndpointStates,
    pollers: collections::BTreeMap<id::EndpointName, poller::Poller>,
    /// The calls in progress; dropping the watcher cancels them.
    calls: stream::FuturesUnordered<BoxFuture<'static, poll_result::PollResult>>,
    /// The time of the last tick of the endpoints' states, in microseconds since `origin`.
    last_tick: sync::Arc<atomic::AtomicU64>,
}

/// The error that ends the watcher: the feed to the scheduler or the configuration channel is closed.
struct Closed;

impl Watcher {
    pub(super) fn new(
        settings: endpoints::Settings,
        shard: endpoints::Shard,
        sources: Sources,
        origin: tokio::time::Instant,
        feed: mpsc::Sender<schedule::Input>,
        last_tick: sync::Arc<atomic::AtomicU64>,
    ) -> Self {
        let params = decisions::Params {
            unreachable_after: settings.unreachable_after(),
            ..Default::default()
        };
        let states = decisions::EndpointStates::new(shard.pool.clone(), shard.number, params);
        Self {
            settings,
            pool: shard.pool,
            is_engine: false,
            sources,
            origin,
            feed,
            states,
            pollers: collections::BTreeMap::new(),
            calls: stream::FuturesUnordered::new(),
            last_tick,
        }
    }

    /// Runs until the feed to the scheduler or the configuration channel is closed.
    ///
    /// Dropping the future cancels the watcher.
    pub async fn run(mut self) {
        // A closed channel is the normal end.
        let _ = self.watch().await;
    }

    async fn watch(&mut self) -> Result<(), Closed> {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.read_hosts().await?;
        self.read_config().await?;
        loop {
            tokio::select! {
                changed = self.sources.config.changed() => {
                    changed.map_err(|_| Closed)?;
                    self.read_config().await?;
                }
                Ok(()) = self.sources.hosts.changed() => self.read_hosts().await?,
                Some(endpoint) = self.sources.probes.recv() => self.request_load(&endpoint),
                Some(result) = self.calls.next() => self.handle_result(result).await?,
                () = self.feed.closed() => return Err(Closed),
                _ = ticks.tick() => self.tick().await?,
            }
            self.call_due();
        }
    }

    async fn read_config(&mut self) -> Result<(), Closed> {
        let snapshot = sync::Arc::clone(&self.sources.config.borrow_and_update());
        let inputs = self.states.apply_config(self.now(), &snapshot);
        self.is_engine = snapshot
            .pool(&self.pool)
            .is_some_and(|pool| matches!(pool.protocol, resource::PoolProtocol::Engine { .. }));
        self.update_pollers();
        send_all(&self.feed, inputs).await
    }

    async fn tick(&mut self) -> Result<(), Closed> {
        let now = self.now();
        let inputs = self.states.tick(now);
        if self.states.polled().count() < self.pollers.len() {
            self.update_pollers();
        }
        send_all(&self.feed, inputs).await?;
        if self.states.is_ready(now) {
            self.last_tick.store(now.as_micros(), atomic::Ordering::Release);
        }
        Ok(())
    }

    async fn read_hosts(&mut self) -> Result<(), Closed> {
        let read = self.sources.hosts.borrow_and_update().clone();
        let Some(read) = read else { return Ok(()) };
        let started = Timestamp::ZERO + read.started.saturating_duration_since(self.origin);
        let inputs = self.states.set_hosts(self.now(), started, read.hosts);
        send_all(&self.feed, inputs).await
    }

    /// Updates the pollers to the set of polled endpoints; keeps each poller whose address is the same.
    fn update_pollers(&mut self) {
        let mut old = std::mem::take(&mut self.pollers);
        for (name, spec) in self.states.polled() {
            let has_cache = self.is_engine && spec.cache_tokens > 0;
            let same = old.remove(name).filter(|poller| poller.address() == spec.address);
            let create = || poller::Poller::new(spec, has_cache, &self.settings);
            self.pollers.insert(name.clone(), same.unwrap_or_else(create));
        }
    }

    fn request_load(&mut self, endpoint: &id::EndpointName) {
        if let Some(poller) = self.pollers.get_mut(endpoint) {
            poller.request_load();
        }
    }

    fn call_due(&mut self) {
        let now = tokio::time::Instant::now();
        for (name, poller) in &mut self.pollers {
            for call in poller.due(now, &self.settings) {
                self.calls.push(Box::pin(poller.call(name.clone(), call)));
            }
        }
    }

    async fn handle_result(&mut self, result: poll_result::PollResult) -> Result<(), Closed> {
        let poll_result::PollResult { endpoint, answer } = result;
        let Some(poller) = self.pollers.get_mut(&endpoint) else { return Ok(()) };
        let (answered, input) = match answer {
            poll_result::Answer::Load(result) => {
                poller.load_ended();
                let answered = result.is_ok();
                (answered, result.ok().map(|report| self.load(endpoint.clone(), report)))
            }
            poll_result::Answer::Cache(result) => {
                poller.cache_ended(result.as_ref().ok().map(|page| page.next));
                let answered = result.is_ok();
                let events = result.map(|page| page.events).unwrap_or_default();
                let input = schedule::Input::Cache { endpoint: endpoint.clone(), events };
                (answered, answered.then_some(input))
            }
        };
        if answered {
            let inputs = self.states.answered(self.now(), &endpoint);
            send_all(&self.feed, inputs).await?;
        }
        send_all(&self.feed, input.into_iter().filter(|input| !is_empty(input)).collect()).await
    }

    fn load(&self, endpoint: id::EndpointName, report: engine::LoadReport) -> schedule::Input {
        let as_of = Timestamp::from_micros(
            self.now().as_micros().saturating_sub(age(&report).as_micros() as u64),
        );
        schedule::Input::Load { endpoint, as_of, report }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }
}

async fn send_all(
    feed: &mpsc::Sender<schedule::Input>,
    inputs: Vec<schedule::Input>,
) -> Result<(), Closed> {
    for input in inputs {
        feed.send(input).await.map_err(|_| Closed)?;
    }
    Ok(())
}

fn is_empty(input: &schedule::Input) -> bool {
    matches!(input, schedule::Input::Cache { events, .. } if events.is_empty())
}

/// Returns the age of a load report.
fn age(report: &engine::LoadReport) -> time::Duration {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let age = now.checked_sub(time::Duration::from_millis(report.as_of_ms));
    age.filter(|age| *age <= MAX_REPORT_AGE).unwrap_or(DEFAULT_REPORT_AGE)
}
