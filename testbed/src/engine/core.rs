//! The state behind the stand-in's calls.

use std::{collections, time};

use tokio::sync::watch;
use trefoildyke_types::{engine as report, id, request, time::Timestamp};
use trefoildyke_wire::endpoint::message;

use crate::{engine, model};

/// How many cache events one page holds.
const PAGE: usize = 4_096;
/// How many published cache events are kept.
const KEPT_EVENTS: usize = 100_000;

/// Says how far a stream has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// Tokens generated; never falls.
    pub(super) tokens: u64,
    pub(super) finish: Option<request::Finish>,
}

#[derive(Debug)]
struct Stream {
    progress: watch::Sender<Progress>,
    ended: Option<Timestamp>,
}

/// Holds the engine model, the streams and what was published.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) model: model::Engine,
    pub(super) orders: engine::orders::Orders,
    keep: time::Duration,
    streams: collections::HashMap<id::RequestKey, Stream>,
    published: collections::VecDeque<report::CacheEvent>,
}

impl Core {
    pub(super) fn new(settings: &engine::Settings) -> Self {
        Self {
            model: model::Engine::new(settings.params.clone()),
            orders: engine::orders::Orders::new(settings.checks_fencing),
            keep: settings.keep,
            streams: collections::HashMap::new(),
            published: collections::VecDeque::new(),
        }
    }

    /// Starts a stream, or attaches to it if it is already known.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        generate: &message::Generate,
    ) -> watch::Receiver<Progress> {
        let key = generate.key();
        let fresh = self.model.submit(now, job(generate));
        match self.streams.get(&key) {
            Some(stream) if !fresh => stream.progress.subscribe(),
            _ => {
                let (progress, receiver) = watch::channel(Progress::default());
                self.streams.insert(key, Stream { progress, ended: None });
                receiver
            }
        }
    }

    pub(super) fn find(&self, key: &id::RequestKey) -> Option<watch::Receiver<Progress>> {
        self.streams.get(key).map(|stream| stream.progress.subscribe())
    }

    /// Returns another stream's identifier, for an answer that comes crossed.
    pub(super) fn other(&self, id: &id::RequestId) -> Option<id::RequestId> {
        self.streams.keys().map(|key| key.id).find(|other| other != id)
    }

    /// Cancels a stream and says whether it was known.
    pub(super) fn cancel(&mut self, now: Timestamp, key: &id::RequestKey) -> bool {
        self.model.cancel(now, key);
        self.advance(now);
        self.streams.contains_key(key)
    }

    /// Moves everything to `now`.
    pub(super) fn advance(&mut self, now: Timestamp) {
        for event in self.model.advance(now) {
            self.apply(event);
        }
        let keep = self.keep;
        self.streams.retain(|_, stream| stream.ended.is_none_or(|at| now.since(at) < keep));
    }

    pub(super) fn cache_page(&self, after: u64) -> message::CachePage {
        let first = self.published.partition_point(|event| event.seq <= after);
        let events: Vec<_> = self.published.range(first..).take(PAGE).copied().collect();
        let newest = self.published.back().map_or(0, |event| event.seq);
        let next = events.last().map_or(newest, |event| event.seq);
        message::CachePage { events, next }
    }

    pub(super) fn report(&self) -> engine::LedgerReport {
        let ledger = self.model.ledger();
        let totals = ledger.totals();
        let starts = ledger.starts.iter().map(|(key, count)| (key.to_string(), *count));
        engine::LedgerReport {
            starts: starts.collect(),
            prefilled_tokens: totals.prefilled,
            wasted_tokens: totals.wasted,
            cached_tokens: totals.cached,
            completed: totals.completed,
            orders: self.orders.done().to_vec(),
        }
    }

    fn apply(&mut self, event: model::ModelEvent) {
        match event {
            model::ModelEvent::FirstToken { .. } => {}
            model::ModelEvent::Tokens { key, offset, count, .. } => {
                let tokens = u64::from(offset) + u64::from(count);
                self.update(&key, |progress| progress.tokens = tokens);
            }
            model::ModelEvent::Finished { key, at } => self.end(&key, at, request::Finish::Whole),
            model::ModelEvent::Cancelled { key, at } => {
                self.end(&key, at, request::Finish::Cancelled);
            }
            model::ModelEvent::Cache { event, .. } => self.publish(event),
        }
    }

    fn publish(&mut self, event: report::CacheEvent) {
        if self.published.len() == KEPT_EVENTS {
            self.published.pop_front();
        }
        self.published.push_back(event);
    }

    fn end(&mut self, key: &id::RequestKey, at: Timestamp, finish: request::Finish) {
        self.update(key, |progress| progress.finish = Some(finish));
        if let Some(stream) = self.streams.get_mut(key) {
            stream.ended = Some(at);
        }
    }

    fn update(&self, key: &id::RequestKey, change: impl FnOnce(&mut Progress)) {
        if let Some(stream) = self.streams.get(key) {
            stream.progress.send_modify(change);
        }
    }
}

fn job(generate: &message::Generate) -> model::Job {
    let tokens = generate.max_tokens.max(1);
    model::Job {
        key: generate.key(),
        prompt_tokens: generate.prompt_tokens.max(1),
        prefix: generate.prefix.clone(),
        max_tokens: tokens,
        output_tokens: tokens,
    }
}
