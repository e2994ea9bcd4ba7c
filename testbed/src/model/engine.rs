//! A modelled engine.

use std::collections;

use trefoildyke_types::{engine, id, time::Timestamp};

use crate::model::{self, outbox, stream};

/// Models an engine that batches continuously and knows no priorities.
///
/// Requests are admitted first come first served, as many as there are slots. Each step decodes
/// one token for every stream whose prompt is processed, and processes prompt tokens first come
/// first served up to a budget; the step that ends a prompt also gives the first token.
///
/// The caller moves the engine through time: it calls [`Engine::advance`] at
/// [`Engine::next_time`] and at every time at which it calls anything else. Time never goes back.
///
/// ```
/// use testbed::model;
/// use trefoildyke_types::{id, time::Timestamp};
///
/// let key = id::RequestKey {
///     account: "cascadia".into(),
///     id: "0192d3a4-0000-7000-8000-000000000001".parse()?,
/// };
/// let job = model::Job { key, prompt_tokens: 40, prefix: vec![], max_tokens: 2, output_tokens: 2 };
/// let mut engine = model::Engine::new(model::Params::default());
/// engine.submit(Timestamp::ZERO, job);
/// while let Some(time) = engine.next_time() {
///     engine.advance(time);
/// }
/// assert_eq!(engine.ledger().completed, 1);
/// # Ok::<(), id::IdError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Engine {
    params: model::Params,
    mode: model::Mode,
    now: Timestamp,
    waiting: collections::VecDeque<model::Job>,
    /// In the order of admission; at most `params.slots`.
    running: Vec<stream::Stream>,
    /// When the step in progress ends; `None` between steps.
    step_end: Option<Timestamp>,
    step_us: u64,
    cache: model::PrefixCache,
    outbox: outbox::Outbox,
    reports: model::Reports,
    ledger: model::Ledger,
    /// Events for the next call of `advance`.
    events: Vec<model::ModelEvent>,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(params: model::Params) -> Self {
        Self {
            mode: model::Mode::Ok,
            now: Timestamp::ZERO,
            waiting: collections::VecDeque::new(),
            running: Vec::new(),
            step_end: None,
            step_us: 0,
            cache: model::PrefixCache::new(params.cache_blocks as usize),
            outbox: outbox::Outbox::new(params.event_lag, params.event_loss, params.seed),
            reports: model::Reports::new(params.report_lag),
            ledger: model::Ledger::default(),
            events: Vec::new(),
            params,
        }
    }

    /// Returns the parameters.
    pub fn params(&self) -> &model::Params {
        &self.params
    }

    /// Returns what the engine has done.
    pub fn ledger(&self) -> &model::Ledger {
        &self.ledger
    }

    /// Returns how many prompt tokens of a prefix the cache holds now.
    pub fn cached_tokens(&self, prefix: &[u64]) -> u32 {
        self.cache.matched(prefix) as u32 * engine::BLOCK_TOKENS
    }

    /// Returns the load report that can be read now, which is as old as the lag of reports.
    pub fn load(&self, now: Timestamp) -> engine::LoadReport {
        self.reports.read(now)
    }

    /// Takes a request and says whether it was new.
    ///
    /// Every call counts as a start. A request that is already in progress does not run a second
    /// time at once.
    pub fn submit(&mut self, now: Timestamp, job: model::Job) -> bool {
        self.now = self.now.max(now);
        self.ledger.start(&job.key);
        let fresh = !self.has(&job.key);
        if fresh {
            self.waiting.push_back(job);
            self.record();
        }
        fresh
    }

    /// Ends a stream that is not finished and says whether there was one.
    pub fn cancel(&mut self, now: Timestamp, key: &id::RequestKey) -> bool {
        self.now = self.now.max(now);
        let found = self.withdraw(key);
        if found {
            self.events.push(model::ModelEvent::Cancelled { key: key.clone(), at: self.now });
            self.record();
        }
        found
    }

    /// Loses all streams and the cache, as when the host is taken back; no event tells of it.
    pub fn lose_all(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        self.waiting.clear();
        for stream in self.running.drain(..) {
            self.ledger.abandon(stream.prefilled);
        }
        self.step_end = None;
        self.cache = model::PrefixCache::new(self.params.cache_blocks as usize);
    }

    /// Changes the behaviour; a step in progress is begun again.
    pub fn set_mode(&mut self, now: Timestamp, mode: model::Mode) {
        self.now = self.now.max(now);
        self.mode = mode;
        self.step_end = None;
    }

    /// Returns when the engine next does something, or `None` if it will not by itself.
    pub fn next_time(&self) -> Option<Timestamp> {
        let step = match self.step_end {
            Some(end) => Some(end),
            None if self.can_step() => Some(self.now),
            None => None,
        };
        let told = (!self.events.is_empty()).then_some(self.now);
        [step, told, self.outbox.next_time()].into_iter().flatten().min()
    }

    /// Moves the engine to `now` and returns what happened on the way, in order for each stream.
    pub fn advance(&mut self, now: Timestamp) -> Vec<model::ModelEvent> {
        loop {
            if self.step_end.is_none() && self.can_step() {
                self.begin_step();
            }
            match self.step_end {
                Some(end) if end <= now => self.end_step(end),
                _ => break,
            }
        }
        self.now = self.now.max(now);
        while let Some((at, event)) = self.outbox.pop_due(now) {
            self.events.push(model::ModelEvent::Cache { event, at });
        }
        std::mem::take(&mut self.events)
    }

    fn has(&self, key: &id::RequestKey) -> bool {
        let runs = self.running.iter().any(|stream| stream.job.key == *key);
        runs || self.waiting.iter().any(|job| job.key == *key)
    }

    fn can_step(&self) -> bool {
        let has_work = !self.running.is_empty() || !self.waiting.is_empty();
        has_work && self.mode != model::Mode::Freeze
    }

    fn withdraw(&mut self, key: &id::RequestKey) -> bool {
        if let Some(at) = self.waiting.iter().position(|job| job.key == *key) {
            self.waiting.remove(at);
            return true;
        }
        let Some(at) = self.running.iter().position(|stream| stream.job.key == *key) else {
            return false;
        };
        let stream = self.running.remove(at);
        self.ledger.prefill(stream.chunk);
        self.ledger.abandon(stream.prefilled + stream.chunk);
        true
    }

    fn begin_step(&mut self) {
        self.admit();
        let mut budget = self.params.chunk_tokens;
        let mut decoding = 0;
        for stream in &mut self.running {
            budget -= stream.plan(budget);
            decoding += u32::from(stream.decodes);
        }
        let usual = self.params.step_time(self.params.chunk_tokens - budget, decoding);
        let length = match self.mode {
            model::Mode::Straggle(factor) => usual.mul_f64(factor),
            model::Mode::Ok | model::Mode::Freeze => usual,
        };
        self.step_us = length.as_micros() as u64;
        self.step_end = Some(self.now + length);
    }

    fn admit(&mut self) {
        while self.running.len() < self.params.slots as usize {
            let Some(job) = self.waiting.pop_front() else { return };
            let stream = self.open(job);
            self.running.push(stream);
        }
    }

    fn open(&mut self, job: model::Job) -> stream::Stream {
        // The last prompt token is always processed: its output is the first token.
        let most = job.prompt_tokens.saturating_sub(1) / engine::BLOCK_TOKENS;
        let matched = self.cache.matched(&job.prefix).min(most as usize);
        self.cache.touch(&job.prefix[..matched]);
        let cached = matched as u32 * engine::BLOCK_TOKENS;
        self.ledger.cached += u64::from(cached);
        stream::Stream::new(job, cached)
    }

    fn end_step(&mut self, end: Timestamp) {
        self.now = self.now.max(end);
        self.step_end = None;
        for mut stream in std::mem::take(&mut self.running) {
            self.carry_out(&mut stream);
            if stream.is_finished() {
                self.finish(stream);
            } else {
                self.running.push(stream);
            }
        }
        self.record();
    }

    fn carry_out(&mut self, stream: &mut stream::Stream) {
        self.ledger.prefill(stream.chunk);
        for block in stream.carry_out() {
            self.store(*block);
        }
        if stream.decodes {
            self.generate(stream);
        }
    }

    fn store(&mut self, block: u64) {
        let Some(evicted) = self.cache.store(block) else { return };
        self.outbox.push(self.now, engine::CacheEventKind::Stored, block);
        if let Some(evicted) = evicted {
            self.outbox.push(self.now, engine::CacheEventKind::Evicted, evicted);
        }
    }

    fn generate(&mut self, stream: &mut stream::Stream) {
        let key = &stream.job.key;
        let at = self.now;
        if stream.generated == 0 {
            self.events.push(model::ModelEvent::FirstToken { key: key.clone(), at });
        }
        let offset = stream.generated;
        self.events.push(model::ModelEvent::Tokens { key: key.clone(), offset, count: 1, at });
        stream.generated += 1;
        self.ledger.generated += 1;
    }

    fn finish(&mut self, stream: stream::Stream) {
        self.ledger.complete(stream.prefilled, stream.own_blocks());
        // A later use of the same prompt keeps its beginning longest.
        self.cache.touch(&stream.job.prefix);
        self.events.push(model::ModelEvent::Finished { key: stream.job.key, at: self.now });
    }

    fn record(&mut self) {
        let running = self.running.iter().map(|s| (s.prefill_left(), s.decode_left()));
        let waiting = self.waiting.iter().map(|job| (job.prompt_tokens, job.max_tokens));
        let (mut queued_prefill, mut queued_decode) = (0, 0);
        for (prefill, decode) in running.chain(waiting) {
            queued_prefill += u64::from(prefill);
            queued_decode += u64::from(decode);
        }
        let report = engine::LoadReport {
            as_of_ms: self.now.as_millis(),
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            queued_prefill,
            queued_decode,
            cached_blocks: self.cache.len() as u32,
            step_us: self.step_us,
        };
        self.reports.record(self.now, report);
    }
}
