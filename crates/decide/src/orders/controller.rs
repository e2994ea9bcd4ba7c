//! The controller, which decides when to hold the lease and when to send orders.

use std::collections;

use trefoildyke_types::{id, time::Timestamp};

use crate::orders::{self, Action, Input, call::Call, open_order, phase::Phase};

/// A state machine that carries out the orders of the configuration while this daemon has the lease.
///
/// It acquires the lease only while there may be orders to carry out and releases it afterwards. Orders
/// to one engine are carried out one at a time, in the sequence in which they were accepted, if
/// [`orders::Params::per_engine`] is 1.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Controller {
    params: orders::Params,
    phase: Phase,
    is_eligible: bool,
    /// Whether there may be orders that have not ended.
    has_work: bool,
    /// The version of the configuration that contains `wanted`.
    version: u64,
    /// All orders of the configuration.
    wanted: Vec<orders::Order>,
    /// The last confirmed version; an order accepted by a later version is not sent.
    ///
    /// A daemon that acquires the lease with an older configuration therefore learns that its
    /// configuration is out of date.
    confirmed: u64,
    confirmation: Call,
    /// The orders that are known to have ended; complete while the lease is held.
    ended: collections::BTreeSet<orders::OrderKey>,
    /// The orders whose outcome is not recorded, by the version that accepted them; without the lease,
    /// only orders in flight.
    open_orders: collections::BTreeMap<(u64, orders::OrderKey), open_order::OpenOrder>,
    /// The engines that get no order before the given time, because an order with an unknown outcome
    /// could still take effect after a later one.
    blocked: collections::BTreeMap<id::EndpointName, Timestamp>,
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
            confirmation: Call::Due(Timestamp::ZERO),
            ended: collections::BTreeSet::new(),
            open_orders: collections::BTreeMap::new(),
            blocked: collections::BTreeMap::new(),
        }
    }

    /// Handles an event at time `now` and returns the actions to carry out, in order.
    ///
    /// `now` is the time of a monotonic clock. The controller checks all time limits against `now` for
    /// every event, so a pause of any length before the call causes no late action.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Action> {
        self.handle(now, input);
        self.check_expiry(now);
        let mut actions = Vec::new();
        match &mut self.phase {
            Phase::Idle(from) => {
                if self.is_eligible && self.has_work && now >= *from {
                    self.phase = Phase::Acquiring;
                    actions.push(Action::Acquire { version: self.version });
                }
            }
            Phase::Acquiring => {}
            Phase::Holding { .. } => self.act_as_holder(now, &mut actions),
        }
        actions
    }

    /// Returns whether the controller needs [`Input::Tick`] events as time passes.
    pub fn is_busy(&self) -> bool {
        !matches!(self.phase, Phase::Idle(_)) || (self.is_eligible && self.has_work)
    }

    /// Returns the lease, if this daemon has it.
    pub fn held_lease(&self) -> Option<&orders::HeldLease> {
        match &self.phase {
            Phase::Holding { held_lease, .. } => Some(held_lease),
            Phase::Idle(_) | Phase::Acquiring => None,
        }
    }

    fn handle(&mut self, now: Timestamp, input: Input) {
        match input {
            Input::Orders { version, wanted } => self.set_wanted(version, wanted),
            Input::Eligible(eligible) => {
                self.has_work |= eligible && !self.is_eligible && !self.wanted.is_empty();
                self.is_eligible = eligible;
            }
            Input::Acquired { token, call_start, version, ended } => {
                self.confirmed = version;
                self.confirmation = Call::Due(now);
                self.start_holding(now, token, call_start, ended);
            }
            Input::NotAcquired => self.phase = Phase::Idle(now + self.params.retry),
            Input::Renewed { call_start } => self.lease_renewed(call_start),
            Input::NotRenewed => self.schedule_renewal(now + self.params.retry),
            Input::LeaseGone => self.lose_lease(now),
            Input::Sent { key, result } => self.order_sent(now, &key, result),
            Input::Stored(key) => {
                self.open_orders.retain(|(_, order_key), _| *order_key != key);
                self.ended.insert(key);
            }
            Input::NotStored(key) => self.outcome_not_stored(now, &key),
            Input::Confirmed(version) => {
                self.confirmed = self.confirmed.max(version);
                self.confirmation = Call::Due(now);
            }
            Input::NotConfirmed => self.confirmation = Call::Due(now + self.params.retry),
            Input::Tick => {}
        }
    }

    fn set_wanted(&mut self, version: u64, wanted: Vec<orders::Order>) {
        self.version = version;
        self.has_work = !wanted.is_empty();
        self.wanted = wanted;
        if self.held_lease().is_some() {
            self.update_open_orders();
        }
    }

    /// Updates the open orders: those that are wanted and have not ended, and those in flight.
    fn update_open_orders(&mut self) {
        for open_order in self.open_orders.values_mut() {
            open_order.is_removed = true;
        }
        for order in &self.wanted {
            if !self.ended.contains(&order.key) {
                let position = (order.version, order.key.clone());
                let fresh = || open_order::OpenOrder::new(order.clone());
                self.open_orders.entry(position).or_insert_with(fresh).is_removed = false;
            }
        }
        self.open_orders
            .retain(|_, open_order| !open_order.is_removed || open_order.is_in_flight());
    }

    fn start_holding(
        &mut self,
        now: Timestamp,
        token: u64,
        call_start: Timestamp,
        ended: collections::BTreeSet<orders::OrderKey>,
    ) {
        let held_lease = orders::HeldLease { token, taken_at: now, call_start };
        let renewal = Call::Due(call_start + self.params.ttl / 3);
        self.phase = Phase::Holding { held_lease, renewal };
        self.ended = ended;
        self.update_open_orders();
    }

    fn lease_renewed(&mut self, call_start: Timestamp) {
        if let Phase::Holding { held_lease, .. } = &mut self.phase {
            held_lease.call_start = held_lease.call_start.max(call_start);
        }
        self.schedule_renewal(call_start + self.params.ttl / 3);
    }

    fn schedule_renewal(&mut self, from: Timestamp) {
        if let Phase::Holding { renewal, .. } = &mut self.phase {
            *renewal = Call::Due(from);
        }
    }

    /// Moves to `Idle` and drops the open orders; orders in flight remain until their result arrives.
    fn lose_lease(&mut self, now: Timestamp) {
        if self.held_lease().is_none() {
            return;
        }
        self.phase = Phase::Idle(now + self.params.retry);
        self.has_work = true;
        self.open_orders.retain(|_, open_order| open_order.is_in_flight());
    }

    fn check_expiry(&mut self, now: Timestamp) {
        if self.held_lease().is_some_and(|held_lease| now >= held_lease.expiry(&self.params)) {
            self.lose_lease(now);
        }
    }

    fn order_sent(&mut self, now: Timestamp, key: &orders::OrderKey, result: orders::SendResult) {
        if result == orders::SendResult::Stale {
            self.lose_lease(now);
        }
        let holds = self.held_lease().is_some();
        let Some((position, open_order)) =
            self.open_orders.iter_mut().find(|((_, order_key), _)| order_key == key)
        else {
            return;
        };
        let settled_at = now + self.params.settle_time;
        if result == orders::SendResult::Unknown {
            self.blocked.insert(open_order.order.endpoint.clone(), settled_at);
        }
        if !holds || open_order.is_removed {
            let position = position.clone();
            self.open_orders.remove(&position);
            return;
        }
        open_order.step = match result {
            orders::SendResult::Done => open_order::Step::Ended(orders::Outcome::Done, now),
            orders::SendResult::Refused(reason) => {
                open_order::Step::Ended(orders::Outcome::Failed(reason), now)
            }
            orders::SendResult::NotSent | orders::SendResult::Stale => {
                open_order::Step::Waiting(now + self.params.retry)
            }
            orders::SendResult::Unknown => open_order::Step::Waiting(settled_at),
        };
    }

    fn outcome_not_stored(&mut self, now: Timestamp, key: &orders::OrderKey) {
        let retry = now + self.params.retry;
        for ((_, order_key), state) in &mut self.open_orders {
            if let open_order::Step::Storing(outcome) = &state.step
                && order_key == key
            {
                state.step = open_order::Step::Ended(outcome.clone(), retry);
            }
        }
    }

    fn act_as_holder(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.open_orders.is_empty() {
            self.phase = Phase::Idle(now);
            self.has_work = false;
            actions.push(Action::Release);
            return;
        }
        let Phase::Holding { held_lease, renewal } = &mut self.phase else { return };
        if renewal.start_if_due(now) {
            actions.push(Action::Renew);
        }
        let held_lease = *held_lease;
        if self.version > self.confirmed && self.confirmation.start_if_due(now) {
            actions.push(Action::Confirm { version: self.version });
        }
        self.store_outcomes(now, &held_lease, actions);
        self.send_orders(now, &held_lease, actions);
    }

    fn store_outcomes(
        &mut self,
        now: Timestamp,
        held_lease: &orders::HeldLease,
        actions: &mut Vec<Action>,
    ) {
        for ((_, key), open_order) in &mut self.open_orders {
            if let open_order::Step::Ended(outcome, from) = &open_order.step
                && now >= *from
            {
                let outcome = outcome.clone();
                open_order.step = open_order::Step::Storing(outcome.clone());
                let fence = held_lease.token;
                actions.push(Action::Store { key: key.clone(), outcome, fence });
            }
        }
    }

    fn send_orders(
        &mut self,
        now: Timestamp,
        held_lease: &orders::HeldLease,
        actions: &mut Vec<Action>,
    ) {
        self.blocked.retain(|_, until| now < *until);
        let mut in_flight =
            self.open_orders.values().filter(|open_order| open_order.is_in_flight()).count();
        let mut predecessors = collections::BTreeMap::<id::EndpointName, usize>::new();
        for open_order in self.open_orders.values_mut() {
            // Every open order precedes the later orders to its engine, whatever its step.
            let ahead = predecessors.entry(open_order.order.endpoint.clone()).or_default();
            let is_next = *ahead < self.params.per_engine;
            *ahead += 1;
            let checks = open_order.order.checks_fencing;
            let is_due = matches!(open_order.step, open_order::Step::Waiting(from) if now >= from);
            if is_due
                && is_next
                && open_order.order.version <= self.confirmed
                && !self.blocked.contains_key(&open_order.order.endpoint)
                && in_flight < self.params.in_flight
                && held_lease.may_send(now, &self.params, checks)
            {
                open_order.step = open_order::Step::Sending;
                in_flight += 1;
                let send_deadline = held_lease.send_deadline(&self.params, checks);
                let order = open_order.order.clone();
                actions.push(Action::Send { order, fence: held_lease.token, send_deadline });
            }
        }
    }
}
