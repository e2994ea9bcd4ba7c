//! The lists that were true, of which an older one is shown.

use std::{collections, time};

use trefoildyke_wire::platform::message;

/// Holds the list shown and those that are true later.
#[derive(Debug)]
pub(crate) struct History {
    lag: time::Duration,
    shown: Vec<message::Host>,
    /// Lists with the time at which each became true, oldest first.
    coming: collections::VecDeque<(time::Instant, Vec<message::Host>)>,
}

impl History {
    pub(crate) fn new(lag: time::Duration, hosts: Vec<message::Host>) -> Self {
        Self { lag, shown: hosts, coming: collections::VecDeque::new() }
    }

    pub(crate) fn set(&mut self, hosts: Vec<message::Host>, now: time::Instant) {
        self.coming.push_back((now, hosts));
    }

    pub(crate) fn show(&mut self, now: time::Instant) -> &[message::Host] {
        while self.coming.front().is_some_and(|(since, _)| *since + self.lag <= now) {
            if let Some((_, hosts)) = self.coming.pop_front() {
                self.shown = hosts;
            }
        }
        &self.shown
    }
}
