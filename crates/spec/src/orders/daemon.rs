//! One daemon with its controller.

use trefoildyke_decide::orders;
use trefoildyke_types::{resource, time};

use crate::orders::Bounds;

/// The only version of the configuration; every daemon knows it.
pub(super) const VERSION: u64 = 1;

/// A call to the service that provides the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Requests the lease; holds the time at which the call began.
    Acquire(u64),
    /// Requests a renewal of the lease; holds the time at which the call began.
    Renew(u64),
    /// The answer is in flight.
    Answer(orders::Input),
}

/// An order that is being sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sending {
    /// The order.
    pub key: orders::OrderKey,
    /// The fencing token.
    pub fence: u64,
    /// The time from which the order must not be written any more.
    pub send_deadline: time::Timestamp,
    /// When the daemon last checked the clock before the write; `None` before it has.
    pub checked_at: Option<u64>,
}

/// One daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Daemon {
    /// The daemon's controller.
    pub controller: orders::Controller,
    /// The call in progress.
    pub call: Option<Call>,
    /// The order that is being sent.
    pub sending: Option<Sending>,
}

impl Daemon {
    pub(super) fn new(bounds: &Bounds) -> Self {
        let controller = orders::Controller::new(bounds.params());
        let mut daemon = Self { controller, call: None, sending: None };
        let wanted = vec![order(bounds)];
        daemon.step(0, orders::Input::Orders { version: VERSION, wanted });
        daemon.step(0, orders::Input::Eligible(true));
        daemon
    }

    /// Passes an input to the controller and starts the actions that it returns.
    pub(super) fn step(&mut self, now: u64, input: orders::Input) {
        for action in self.controller.step(timestamp(now), input) {
            match action {
                orders::Action::Acquire { .. } => self.call = Some(Call::Acquire(now)),
                orders::Action::Renew => self.call = Some(Call::Renew(now)),
                orders::Action::Send { order, fence, send_deadline } => {
                    let key = order.key;
                    self.sending = Some(Sending { key, fence, send_deadline, checked_at: None });
                }
                // There is only one version, and acquiring the lease confirms it.
                orders::Action::Confirm { .. }
                | orders::Action::Release
                | orders::Action::Store { .. } => {}
            }
        }
    }
}

pub(super) fn timestamp(now: u64) -> time::Timestamp {
    time::Timestamp::from_millis(now * 1_000)
}

fn order(bounds: &Bounds) -> orders::Order {
    orders::Order {
        key: orders::OrderKey { name: "o".to_owned(), generation: 1 },
        version: VERSION,
        endpoint: "e".into(),
        checks_fencing: bounds.checks_fencing,
        action: resource::OrderAction::SetRole { role: "r".to_owned() },
    }
}
