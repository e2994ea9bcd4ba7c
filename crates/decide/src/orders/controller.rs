//! Decides when orders are sent.

use std::collections;

use trefoildyke_types::{id, time::Timestamp};

use crate::orders::{self, Action, Input, call::Call, open, phase::Phase};

/// Carries out the orders of the configuration while this daemon has the lease.
///
/// It takes the lease only while there may be orders to carry out, and gives it up afterwards.
/// Orders to one engine are carried out one at a time, in the order in which they were accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Controller {
    params: orders::Params,
    phase: Phase,
    is_eligible: bool,
    /// Whether there may be orders that were not carried out.
    has_work: bool,
    /// The version of the configuration that `wanted` is from.
    version: u64,
    /// All orders of the configuration.
    wanted: Vec<orders::Order>,
    /// The version confirmed last; nothing that a later one accepted is sent.
    ///
    /// So whoever takes the lease with an older configuration learns that it is old.
    confirmed: u64,
    confirming: Call,
    /// The orders known to have ended; complete while the lease is held.
    ended: collections::BTreeSet<orders::OrderKey>,
    /// The orders that have not ended, by the version that accepted them; empty without the lease,
    /// except for orders in flight.
    open: collections::BTreeMap<(u64, orders::OrderKey), open::Open>,
    /// Until when an engine gets nothing, because an order whose outcome is unknown could still
    /// take effect after a later one.
    quiet: collections::BTreeMap<id::EndpointName, Timestamp>,
}

impl Controller {
    /// Creates a controller without orders and without the lease.
    pub fn new(params: orders::Params) -> Self {
        Self {
            params,
            phase: Phase::Idle(Timestamp::ZERO),
            is_eligible: false,
            has_work: false,
            version: 0,
            wanted: Vec::new(),
            confirmed: 0,
            confirming: Call::Due(Timestamp::ZERO),
            ended: collections::BTreeSet::new(),
            open: collections::BTreeMap::new(),
            quiet: collections::BTreeMap::new(),
        }
    }

    /// Takes in one event at time `now` and returns what is to be done, in order.
    ///
    /// `now` is a monotonic clock's. Whatever the event, what has become too late by `now` is not
    /// done, so a pause of any length before the call does no harm.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Action> {
        self.take_in(now, input);
        self.stop_in_time(now);
        let mut actions = Vec::new();
        match &mut self.phase {
            Phase::Idle(from) => {
                if self.is_eligible && self.has_work && now >= *from {
                    self.phase = Phase::Acquiring;
                    actions.push(Action::Acquire { version: self.version });
                }
            }
            Phase::Acquiring => {}
            Phase::Holding { .. } => self.hold(now, &mut actions),
        }
        actions
    }

    /// Returns whether anything is to be done as time passes.
    pub fn is_busy(&self) -> bool {
        !matches!(self.phase, Phase::Idle(_)) || (self.is_eligible && self.has_work)
    }

    /// Returns the lease, if this daemon has it.
    pub fn holding(&self) -> Option<&orders::Holding> {
        match &self.phase {
            Phase::Holding { holding, .. } => Some(holding),
            Phase::Idle(_) | Phase::Acquiring => None,
        }
    }

    fn take_in(&mut self, now: Timestamp, input: Input) {
        match input {
            Input::Orders { version, wanted } => self.want(version, wanted),
            Input::Eligible(eligible) => {
                self.has_work |= eligible && !self.is_eligible && !self.wanted.is_empty();
                self.is_eligible = eligible;
            }
            Input::Acquired { token, begun, version, ended } => {
                self.confirmed = version;
                self.confirming = Call::Due(now);
                self.acquire(now, token, begun, ended);
            }
            Input::NotAcquired => self.phase = Phase::Idle(now + self.params.retry),
            Input::Renewed { begun } => self.renewed(begun),
            Input::NotRenewed => self.renew_from(now + self.params.retry),
            Input::LeaseGone => self.lose(now),
            Input::Sent { key, result } => self.sent(now, &key, result),
            Input::Stored(key) => {
                self.open.retain(|(_, open), _| *open != key);
                self.ended.insert(key);
            }
            Input::NotStored(key) => self.not_stored(now, &key),
            Input::Confirmed(version) => {
                self.confirmed = self.confirmed.max(version);
                self.confirming = Call::Due(now);
            }
            Input::NotConfirmed => self.confirming = Call::Due(now + self.params.retry),
            Input::Tick => {}
        }
    }

    fn want(&mut self, version: u64, wanted: Vec<orders::Order>) {
        self.version = version;
        self.has_work = !wanted.is_empty();
        self.wanted = wanted;
        if self.holding().is_some() {
            self.reopen();
        }
    }

    /// Makes the open orders those that are wanted and have not ended.
    fn reopen(&mut self) {
        for open in self.open.values_mut() {
            open.is_dropped = true;
        }
        for order in &self.wanted {
            if !self.ended.contains(&order.key) {
                let place = (order.version, order.key.clone());
                let fresh = || open::Open::new(order.clone());
                self.open.entry(place).or_insert_with(fresh).is_dropped = false;
            }
        }
        self.open.retain(|_, open| !open.is_dropped || open.is_in_flight());
    }

    fn acquire(
        &mut self,
        now: Timestamp,
        token: u64,
        begun: Timestamp,
        ended: collections::BTreeSet<orders::OrderKey>,
    ) {
        let holding = orders::Holding { token, took: now, begun };
        let renewal = Call::Due(begun + self.params.ttl / 3);
        self.phase = Phase::Holding { holding, renewal };
        self.ended = ended;
        self.reopen();
    }

    fn renewed(&mut self, begun: Timestamp) {
        if let Phase::Holding { holding, .. } = &mut self.phase {
            holding.begun = holding.begun.max(begun);
        }
        self.renew_from(begun + self.params.ttl / 3);
    }

    fn renew_from(&mut self, from: Timestamp) {
        if let Phase::Holding { renewal, .. } = &mut self.phase {
            *renewal = Call::Due(from);
        }
    }

    /// Gives up what rests on the lease; orders in flight stay so until their answer comes.
    fn lose(&mut self, now: Timestamp) {
        if self.holding().is_none() {
            return;
        }
        self.phase = Phase::Idle(now + self.params.retry);
        self.has_work = true;
        self.open.retain(|_, open| open.is_in_flight());
    }

    fn stop_in_time(&mut self, now: Timestamp) {
        if self.holding().is_some_and(|holding| now >= holding.end(&self.params)) {
            self.lose(now);
        }
    }

    fn sent(&mut self, now: Timestamp, key: &orders::OrderKey, result: orders::SendResult) {
        if result == orders::SendResult::Stale {
            self.lose(now);
        }
        let holds = self.holding().is_some();
        let Some((place, open)) = self.open.iter_mut().find(|((_, open), _)| open == key) else {
            return;
        };
        let settled = now + self.params.settle;
        if result == orders::SendResult::Unknown {
            self.quiet.insert(open.order.endpoint.clone(), settled);
        }
        if !holds || open.is_dropped {
            let place = place.clone();
            self.open.remove(&place);
            return;
        }
        open.step = match result {
            orders::SendResult::Done => open::Step::Ended(orders::Outcome::Done, now),
            orders::SendResult::Refused(why) => {
                open::Step::Ended(orders::Outcome::Failed(why), now)
            }
            orders::SendResult::NotSent | orders::SendResult::Stale => {
                open::Step::Waiting(now + self.params.retry)
            }
            orders::SendResult::Unknown => open::Step::Waiting(settled),
        };
    }

    fn not_stored(&mut self, now: Timestamp, key: &orders::OrderKey) {
        let retry = now + self.params.retry;
        for ((_, open), state) in &mut self.open {
            if let open::Step::Storing(outcome) = &state.step
                && open == key
            {
                state.step = open::Step::Ended(outcome.clone(), retry);
            }
        }
    }

    fn hold(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.open.is_empty() {
            self.phase = Phase::Idle(now);
            self.has_work = false;
            actions.push(Action::Release);
            return;
        }
        let Phase::Holding { holding, renewal } = &mut self.phase else { return };
        if renewal.begin(now) {
            actions.push(Action::Renew);
        }
        let holding = *holding;
        if self.version > self.confirmed && self.confirming.begin(now) {
            actions.push(Action::Confirm { version: self.version });
        }
        self.store(now, &holding, actions);
        self.send(now, &holding, actions);
    }

    fn store(&mut self, now: Timestamp, holding: &orders::Holding, actions: &mut Vec<Action>) {
        for ((_, key), open) in &mut self.open {
            if let open::Step::Ended(outcome, from) = &open.step
                && now >= *from
            {
                let outcome = outcome.clone();
                open.step = open::Step::Storing(outcome.clone());
                let fence = holding.token;
                actions.push(Action::Store { key: key.clone(), outcome, fence });
            }
        }
    }

    fn send(&mut self, now: Timestamp, holding: &orders::Holding, actions: &mut Vec<Action>) {
        self.quiet.retain(|_, until| now < *until);
        let mut in_flight = self.open.values().filter(|open| open.is_in_flight()).count();
        let mut before = collections::BTreeMap::<id::EndpointName, usize>::new();
        for open in self.open.values_mut() {
            // Every order that has not ended stands before later ones to its engine.
            let ahead = before.entry(open.order.endpoint.clone()).or_default();
            let is_next = *ahead < self.params.per_engine;
            *ahead += 1;
            let checks = open.order.checks_fencing;
            let is_due = matches!(open.step, open::Step::Waiting(from) if now >= from);
            if is_due
                && is_next
                && open.order.version <= self.confirmed
                && !self.quiet.contains_key(&open.order.endpoint)
                && in_flight < self.params.in_flight
                && holding.may_send(now, &self.params, checks)
            {
                open.step = open::Step::Sending;
                in_flight += 1;
                let stop = holding.stop(&self.params, checks);
                let order = open.order.clone();
                actions.push(Action::Send { order, fence: holding.token, stop });
            }
        }
    }
}
