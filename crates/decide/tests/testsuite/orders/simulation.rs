//! A simulation of several controllers, one lease and one engine in virtual time.

use std::{collections, time::Duration};

use trefoildyke_decide::orders::{self, Action, Input};
use trefoildyke_types::{resource, time::Timestamp};

/// The length of one simulation step.
const STEP: Duration = Duration::from_millis(100);
/// The time to live of the lease at the key-value service; the holders' settings may differ in variants.
pub(crate) const TTL: Duration = Duration::from_secs(15);

pub(crate) fn order(version: u64, checks_fencing: bool) -> orders::Order {
    orders::Order {
        key: orders::OrderKey { name: "role".to_owned(), generation: version },
        version,
        endpoint: "e1".into(),
        checks_fencing,
        action: resource::OrderAction::SetRole { role: format!("role-{version}") },
    }
}

/// A daemon that may carry out orders.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) controller: orders::Controller,
    /// The time before which the daemon does nothing.
    pub(crate) paused_until: Timestamp,
    /// Answers that the controller has not handled yet.
    answers: Vec<Input>,
    /// Orders that the daemon is about to write, each with the time at which its connection is ready.
    writing: Vec<(Timestamp, Action)>,
}

/// An order in transit to the engine.
#[derive(Debug)]
struct InTransit {
    arrives: Timestamp,
    daemon: usize,
    order: orders::Order,
    fence: u64,
}

/// The daemons, the lease and the engine.
pub(crate) struct Simulation {
    pub(crate) now: Timestamp,
    pub(crate) daemons: Vec<Daemon>,
    /// The lease's holder, fencing token and end.
    lease: Option<(usize, u64, Timestamp)>,
    revision: u64,
    ended: collections::BTreeSet<orders::OrderKey>,
    /// The highest confirmed version.
    confirmed: u64,
    in_transit: Vec<InTransit>,
    /// The newest fencing token that the engine has seen.
    newest: u64,
    /// Versions in the order in which the engine carried them out.
    pub(crate) applied: Vec<u64>,
    /// How long a connection takes to open.
    pub(crate) connect_time: Duration,
    /// The transit time of order 1; all other orders take [`STEP`].
    pub(crate) latency: Duration,
    /// Whether renewals reach the key-value service.
    pub(crate) renewals_succeed: bool,
    /// Whether the lease is refused to a daemon whose configuration is out of date.
    pub(crate) checks_version: bool,
    /// Whether daemons check the clock once more before writing.
    pub(crate) rechecks_clock: bool,
}

impl Simulation {
    pub(crate) fn new(params: orders::Params, daemons: usize) -> Self {
        let daemon = |_| {
            let mut controller = orders::Controller::new(params);
            controller.step(Timestamp::ZERO, Input::Eligible(true));
            Daemon {
                controller,
                paused_until: Timestamp::ZERO,
                answers: Vec::new(),
                writing: Vec::new(),
            }
        };
        Self {
            now: Timestamp::ZERO,
            daemons: (0..daemons).map(daemon).collect(),
            lease: None,
            revision: 100,
            ended: collections::BTreeSet::new(),
            confirmed: 0,
            in_transit: Vec::new(),
            newest: 0,
            applied: Vec::new(),
            connect_time: Duration::from_millis(200),
            latency: STEP,
            renewals_succeed: true,
            checks_version: true,
            rechecks_clock: true,
        }
    }

    /// Passes the orders of a configuration to one daemon.
    pub(crate) fn configure(&mut self, daemon: usize, wanted: Vec<orders::Order>) {
        let version = wanted.iter().map(|order| order.version).max().unwrap_or(0);
        self.daemons[daemon].answers.push(Input::Orders { version, wanted });
    }

    pub(crate) fn pause(&mut self, daemon: usize, length: Duration) {
        self.daemons[daemon].paused_until = self.now + length;
    }

    pub(crate) fn run(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(|simulation| simulation.now >= end);
    }

    /// Runs until `reached` holds; panics after five minutes of virtual time.
    pub(crate) fn run_until(&mut self, reached: impl Fn(&Self) -> bool) {
        let limit = self.now + Duration::from_secs(300);
        while !reached(self) {
            assert!(self.now < limit, "not reached; applied {:?}", self.applied);
            self.advance();
        }
    }

    /// Returns whether the daemon has an order that it is about to write.
    pub(crate) fn is_writing(&self, daemon: usize) -> bool {
        !self.daemons[daemon].writing.is_empty()
    }

    pub(crate) fn has_lease(&self, daemon: usize) -> bool {
        self.lease.is_some_and(|(holder, ..)| holder == daemon)
    }

    /// Returns whether the engine carried out an order after a newer one.
    pub(crate) fn is_reordered(&self) -> bool {
        !self.applied.is_sorted()
    }

    fn advance(&mut self) {
        self.now = self.now + STEP;
        if self.lease.is_some_and(|(_, _, end)| end <= self.now) {
            self.lease = None;
        }
        self.deliver_orders();
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].paused_until <= self.now {
                self.write(daemon);
                self.step_controller(daemon);
            }
        }
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let (arrived, in_transit): (Vec<_>, Vec<_>) =
            self.in_transit.drain(..).partition(|in_transit| in_transit.arrives <= now);
        self.in_transit = in_transit;
        for InTransit { daemon, order, fence, .. } in arrived {
            let is_stale = order.checks_fencing && fence < self.newest;
            self.newest = self.newest.max(fence);
            let result = if is_stale {
                orders::SendResult::Stale
            } else {
                self.applied.push(order.version);
                orders::SendResult::Done
            };
            self.daemons[daemon].answers.push(Input::Sent { key: order.key, result });
        }
    }

    /// Writes the orders whose connection is ready, after a last check of the clock.
    fn write(&mut self, index: usize) {
        let now = self.now;
        let writing = std::mem::take(&mut self.daemons[index].writing);
        for (ready, action) in writing {
            let Action::Send { order, fence, send_deadline } = &action else { continue };
            if ready > now {
                self.daemons[index].writing.push((ready, action));
            } else if self.rechecks_clock && now >= *send_deadline {
                let result = orders::SendResult::NotSent;
                let input = Input::Sent { key: order.key.clone(), result };
                self.daemons[index].answers.push(input);
            } else {
                let arrives = now + if order.version == 1 { self.latency } else { STEP };
                let (order, fence) = (order.clone(), *fence);
                self.in_transit.push(InTransit { arrives, daemon: index, order, fence });
            }
        }
    }

    fn step_controller(&mut self, index: usize) {
        let mut inputs = std::mem::take(&mut self.daemons[index].answers);
        inputs.push(Input::Tick);
        for input in inputs {
            let actions = self.daemons[index].controller.step(self.now, input);
            for action in actions {
                self.carry_out(index, action);
            }
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        let call_start = self.now;
        let answer = match action {
            Action::Acquire { version }
                if self.lease.is_none() && (version >= self.confirmed || !self.checks_version) =>
            {
                self.revision += 1;
                self.lease = Some((index, self.revision, call_start + TTL));
                self.confirmed = self.confirmed.max(version);
                let (token, ended) = (self.revision, self.ended.clone());
                Input::Acquired { token, call_start, version, ended }
            }
            Action::Acquire { .. } => Input::NotAcquired,
            Action::Confirm { version } => {
                self.confirmed = self.confirmed.max(version);
                Input::Confirmed(version)
            }
            Action::Renew if !self.renewals_succeed => Input::NotRenewed,
            Action::Renew => match &mut self.lease {
                Some((holder, _, end)) if *holder == index => {
                    *end = call_start + TTL;
                    Input::Renewed { call_start }
                }
                _ => Input::LeaseGone,
            },
            Action::Release => {
                if self.has_lease(index) {
                    self.lease = None;
                }
                return;
            }
            Action::Send { .. } => {
                let ready = self.now + self.connect_time;
                self.daemons[index].writing.push((ready, action));
                return;
            }
            Action::Store { key, .. } => {
                self.ended.insert(key.clone());
                Input::Stored(key)
            }
        };
        self.daemons[index].answers.push(answer);
    }
}
