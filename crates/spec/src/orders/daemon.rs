//! One daemon with its controller.

use trefoildyke_decide::orders;
use trefoildyke_types::{resource, time};

use crate::orders::Bounds;

/// The one version of the configuration, which every daemon knows.
pub(super) const VERSION: u64 = 1;

/// Holds a call to the service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// The lease is asked for; the call began then.
    Acquire(u64),
    /// A renewal is asked for; the call began then.
    Renew(u64),
    /// The answer is on its way.
    Answer(orders::Input),
}

/// Holds an order that is being sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sending {
    /// The order.
    pub key: orders::OrderKey,
    /// The fencing token.
    pub fence: u64,
    /// From when on it must not be written.
    pub send_deadline: time::Timestamp,
    /// When the clock was looked at last before the write.
    pub looked: Option<u64>,
}

/// Holds one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Daemon {
    /// Its controller.
    pub controller: orders::Controller,
    /// The call that is under way.
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

    /// Hands an input to the controller and begins what it wants done.
    pub(super) fn step(&mut self, now: u64, input: orders::Input) {
        for action in self.controller.step(timestamp(now), input) {
            match action {
                orders::Action::Acquire { .. } => self.call = Some(Call::Acquire(now)),
                orders::Action::Renew => self.call = Some(Call::Renew(now)),
                orders::Action::Send { order, fence, send_deadline } => {
                    let key = order.key;
                    self.sending = Some(Sending { key, fence, send_deadline, looked: None });
                }
                // There is one version, and taking the lease confirms it.
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
