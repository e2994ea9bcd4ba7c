//! Watches the endpoints of one shard.

use std::{collections, sync, sync::atomic, time};

use futures::{StreamExt as _, future::BoxFuture, stream};
use tokio::sync::{mpsc, watch};
use trefoildyke_decide::{config, endpoints as decisions, schedule};
use trefoildyke_types::{engine, id, resource, time::Timestamp};

use crate::{
    endpoints::{self, polled, poller},
    hosts,
};

/// How often due calls and what time alone changes are looked at.
const TICK: time::Duration = time::Duration::from_millis(100);
/// A load report that claims to be older, or to come from the future, has a clock of its own.
const OLDEST_REPORT: time::Duration = time::Duration::from_secs(10);
/// The age assumed of a report whose own time cannot be used.
const USUAL_AGE: time::Duration = time::Duration::from_secs(1);

/// What the watcher learns from.
#[derive(Debug)]
pub(super) struct Sources {
    pub(super) config: watch::Receiver<sync::Arc<config::Snapshot>>,
    pub(super) hosts: watch::Receiver<Option<hosts::Reading>>,
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
    standings: decisions::Standings,
    pollers: collections::BTreeMap<id::EndpointName, poller::Poller>,
    /// Calls in progress; they end with the watcher.
    calls: stream::FuturesUnordered<BoxFuture<'static, polled::Polled>>,
    /// When the standings were reviewed last, in microseconds since `origin`.
    reviewed: sync::Arc<atomic::AtomicU64>,
}

/// Says that the scheduler no longer listens.
struct Ended;

impl Watcher {
    pub(super) fn new(
        settings: endpoints::Settings,
        shard: endpoints::Shard,
        sources: Sources,
        origin: tokio::time::Instant,
        feed: mpsc::Sender<schedule::Input>,
        reviewed: sync::Arc<atomic::AtomicU64>,
    ) -> Self {
        let params = decisions::Params {
            unreachable_after: settings.unreachable_after(),
            ..Default::default()
        };
        let standings = decisions::Standings::new(shard.pool.clone(), shard.number, params);
        Self {
            settings,
            pool: shard.pool,
            is_engine: false,
            sources,
            origin,
            feed,
            standings,
            pollers: collections::BTreeMap::new(),
            calls: stream::FuturesUnordered::new(),
            reviewed,
        }
    }

    /// Watches until the scheduler no longer listens or the configuration's service has ended;
    /// cancel it by dropping the future.
    pub async fn run(mut self) {
        // An ended feed is the regular end.
        let _ = self.watch().await;
    }

    async fn watch(&mut self) -> Result<(), Ended> {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.read_hosts().await?;
        self.read_config().await?;
        loop {
            tokio::select! {
                changed = self.sources.config.changed() => {
                    changed.map_err(|_| Ended)?;
                    self.read_config().await?;
                }
                Ok(()) = self.sources.hosts.changed() => self.read_hosts().await?,
                Some(endpoint) = self.sources.probes.recv() => self.hurry(&endpoint),
                Some(polled) = self.calls.next() => self.take_in(polled).await?,
                () = self.feed.closed() => return Err(Ended),
                _ = ticks.tick() => self.review().await?,
            }
            self.call_due();
        }
    }

    async fn read_config(&mut self) -> Result<(), Ended> {
        let snapshot = sync::Arc::clone(&self.sources.config.borrow_and_update());
        let told = self.standings.configure(self.now(), &snapshot);
        self.is_engine = snapshot
            .pool(&self.pool)
            .is_some_and(|pool| matches!(pool.protocol, resource::PoolProtocol::Engine { .. }));
        self.follow_endpoints();
        tell(&self.feed, told).await
    }

    async fn review(&mut self) -> Result<(), Ended> {
        let now = self.now();
        let told = self.standings.review(now);
        if self.standings.watched().count() < self.pollers.len() {
            self.follow_endpoints();
        }
        tell(&self.feed, told).await?;
        if self.standings.is_decided(now) {
            self.reviewed.store(now.as_micros(), atomic::Ordering::Release);
        }
        Ok(())
    }

    async fn read_hosts(&mut self) -> Result<(), Ended> {
        let reading = self.sources.hosts.borrow_and_update().clone();
        let Some(reading) = reading else { return Ok(()) };
        let begun = Timestamp::ZERO + reading.begun.saturating_duration_since(self.origin);
        let told = self.standings.list(self.now(), begun, reading.hosts);
        tell(&self.feed, told).await
    }

    /// Makes the pollers those of the endpoints that are watched.
    fn follow_endpoints(&mut self) {
        let mut old = std::mem::take(&mut self.pollers);
        for (name, spec) in self.standings.watched() {
            let has_cache = self.is_engine && spec.cache_tokens > 0;
            let same = old.remove(name).filter(|poller| poller.address() == spec.address);
            let fresh = || poller::Poller::new(spec, has_cache, &self.settings);
            self.pollers.insert(name.clone(), same.unwrap_or_else(fresh));
        }
    }

    fn hurry(&mut self, endpoint: &id::EndpointName) {
        if let Some(poller) = self.pollers.get_mut(endpoint) {
            poller.hurry();
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

    async fn take_in(&mut self, polled: polled::Polled) -> Result<(), Ended> {
        let polled::Polled { endpoint, answer } = polled;
        let Some(poller) = self.pollers.get_mut(&endpoint) else { return Ok(()) };
        let (answered, input) = match answer {
            polled::Answer::Load(result) => {
                poller.loaded();
                let answered = result.is_ok();
                (answered, result.ok().map(|report| self.load(endpoint.clone(), report)))
            }
            polled::Answer::Cache(result) => {
                poller.paged(result.as_ref().ok().map(|page| page.next));
                let answered = result.is_ok();
                let events = result.map(|page| page.events).unwrap_or_default();
                let input = schedule::Input::Cache { endpoint: endpoint.clone(), events };
                (answered, answered.then_some(input))
            }
        };
        if answered {
            let told = self.standings.answered(self.now(), &endpoint);
            tell(&self.feed, told).await?;
        }
        tell(&self.feed, input.into_iter().filter(|input| !is_empty(input)).collect()).await
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

async fn tell(
    feed: &mpsc::Sender<schedule::Input>,
    inputs: Vec<schedule::Input>,
) -> Result<(), Ended> {
    for input in inputs {
        feed.send(input).await.map_err(|_| Ended)?;
    }
    Ok(())
}

fn is_empty(input: &schedule::Input) -> bool {
    matches!(input, schedule::Input::Cache { events, .. } if events.is_empty())
}

/// Returns how long ago a report was true.
fn age(report: &engine::LoadReport) -> time::Duration {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let age = now.checked_sub(time::Duration::from_millis(report.as_of_ms));
    age.filter(|age| *age <= OLDEST_REPORT).unwrap_or(USUAL_AGE)
}
