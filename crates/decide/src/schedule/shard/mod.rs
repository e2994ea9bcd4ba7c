//! The scheduler of one pool shard.

mod asks;
mod endpoints;
mod grants;
mod place;
mod quarantine;
mod reports;
mod shed;

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::{
    gateway,
    schedule::{self, fleet, lengths, permitted, prefix, queue, work_rates},
};

/// Decides the order and the endpoints of one pool shard's requests.
///
/// A request is either waiting, permitted or unknown. Requests are granted in tier order, then by
/// fair share among client accounts, then by deadline.
///
/// ```
/// use trefoildyke_decide::schedule;
/// use trefoildyke_types::{id, request, time::Timestamp};
///
/// let params = schedule::Params::default();
/// let mut shard = schedule::Shard::new(params, id::Incarnation::from_u64(1));
/// let endpoint =
///     schedule::EndpointInfo { endpoint: "engine-1".into(), slots: 8, cache_tokens: 65_536 };
/// shard.step(Timestamp::ZERO, schedule::Input::EndpointUp(endpoint));
/// let ask = request::Ask {
///     key: id::RequestKey {
///         account: "clinic".into(),
///         id: "0192d3a4-0000-7000-8000-000000000001".parse()?,
///     },
///     coordinator: id::Incarnation::from_u64(2),
///     rank: 0,
///     prompt_tokens: 400,
///     max_tokens: 100,
///     prefix: vec![],
///     fingerprint: None,
///     left_ms: 20_000,
/// };
/// let outputs = shard.step(Timestamp::from_millis(1), schedule::Input::Ask(ask));
/// assert!(matches!(outputs[0], schedule::Output::Grant(_)));
/// # Ok::<(), id::IdError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Shard {
    params: schedule::Params,
    scheduler: id::Incarnation,
    queue: queue::Queue,
    permitted: collections::HashMap<id::RequestKey, permitted::Permitted>,
    /// When unused permits expire.
    permit_expiries: collections::BTreeSet<(Timestamp, id::RequestKey)>,
    fleet: fleet::Fleet,
    index: prefix::Index,
    shares: collections::HashMap<id::AccountName, schedule::AccountShare>,
    lengths: lengths::Lengths,
    work_rates: work_rates::WorkRates,
    /// The requests under which endpoints have crashed.
    quarantine: gateway::Quarantine,
    /// The blocks of prompts under which endpoints have crashed.
    block_quarantine: gateway::PartQuarantine,
    /// Whether a request was quarantined that may still be waiting.
    has_new_quarantine: bool,
    /// When the endpoints' health is checked next.
    next_check: Timestamp,
    /// The latest deadline of the requests that were shed, by rank.
    ///
    /// Up to and including that time no lower tier is granted anything, which ensures `TierOrder`.
    shed_until: collections::BTreeMap<u8, Timestamp>,
    /// When the first hold of a request ends.
    hold_end: Option<Timestamp>,
    /// Whether an event may allow another request to be granted.
    may_grant: bool,
    /// The last wake-up that was requested.
    next_wake: Option<Timestamp>,
}

impl Shard {
    /// Creates the scheduler of a shard without endpoints and waiting requests.
    ///
    /// `scheduler` is the incarnation of the daemon that runs it.
    pub fn new(params: schedule::Params, scheduler: id::Incarnation) -> Self {
        let quarantine = gateway::Quarantine::new(gateway::QuarantineParams::default());
        let block_params = gateway::PartQuarantineParams::default();
        let block_quarantine = gateway::PartQuarantine::new(block_params);
        Self {
            params,
            scheduler,
            queue: queue::Queue::default(),
            permitted: collections::HashMap::new(),
            permit_expiries: collections::BTreeSet::new(),
            fleet: fleet::Fleet::default(),
            index: prefix::Index::new(),
            shares: collections::HashMap::new(),
            lengths: lengths::Lengths::new(),
            work_rates: work_rates::WorkRates::new(),
            quarantine,
            block_quarantine,
            has_new_quarantine: false,
            next_check: Timestamp::ZERO,
            shed_until: collections::BTreeMap::new(),
            hold_end: None,
            may_grant: false,
            next_wake: None,
        }
    }

    /// Handles one event at time `now` and returns the actions to carry out, in order.
    ///
    /// `now` must not decrease. Every waiting request whose deadline can no longer be met at `now`
    /// is refused in the same step, whatever the event.
    pub fn step(&mut self, now: Timestamp, input: schedule::Input) -> Vec<schedule::Output> {
        let mut outputs = Vec::new();
        self.work_rates.advance(now, !self.queue.is_empty(), &self.fleet);
        self.handle(now, input, &mut outputs);
        self.expire_permits(now);
        self.check_health(now, &mut outputs);
        self.shed_quarantined(now, &mut outputs);
        self.shed_expired(now, &mut outputs);
        if std::mem::take(&mut self.may_grant) {
            self.grant(now, &mut outputs);
            self.shed_late(now, &mut outputs);
        }
        self.plan_wake(now, &mut outputs);
        outputs
    }

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of permitted requests that have not ended.
    pub fn permitted_count(&self) -> usize {
        self.permitted.len()
    }

    fn handle(
        &mut self,
        now: Timestamp,
        input: schedule::Input,
        outputs: &mut Vec<schedule::Output>,
    ) {
        match input {
            schedule::Input::Ask(ask) => self.ask(now, ask, outputs),
            schedule::Input::Report(report) => self.report(now, &report),
            schedule::Input::TakeOver(taken_over) => self.take_over(now, taken_over, outputs),
            schedule::Input::CoordinatorLost(lost) => self.coordinator_lost(now, lost),
            schedule::Input::Load { endpoint, as_of, report } => {
                self.load(&endpoint, as_of, &report);
            }
            schedule::Input::Cache { endpoint, events } => self.cache(&endpoint, &events),
            schedule::Input::EndpointUp(info) => self.endpoint_up(now, &info),
            schedule::Input::EndpointLeaving(name) => self.endpoint_leaving(&name),
            schedule::Input::EndpointGone(name) => self.endpoint_gone(now, &name),
            schedule::Input::Account(share) => {
                self.shares.insert(share.account.clone(), share);
            }
            schedule::Input::Tick => self.may_grant = true,
        }
    }

    fn weight(&self, account: &id::AccountName) -> u32 {
        self.shares.get(account).map_or(1, |share| share.weight.max(1))
    }

    fn plan_wake(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        let start = self.queue.first_latest_start().map(|(start, _)| start);
        let expiry = self.permit_expiries.first().map(|(expiry, _)| *expiry);
        let check =
            (!self.permitted.is_empty() || self.is_any_suspended()).then_some(self.next_check);
        let held = self.hold_end.filter(|_| !self.queue.is_empty());
        let closed = self.queue.top_rank().and_then(|rank| self.closed_until(now, rank));
        let closed = closed.map(|until| until + time::Duration::from_micros(1));
        let wake = [start, expiry, check, held, closed].into_iter().flatten().min();
        let passed = self.next_wake.is_some_and(|wake| wake <= now);
        if wake != self.next_wake || passed {
            self.next_wake = wake;
            outputs.extend(wake.map(schedule::Output::WakeAt));
        }
    }
}
