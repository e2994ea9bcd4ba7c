//! A baseline with one queue for all.

use std::collections;

use crate::experiment::policy;

/// Holds all requests in one queue and serves them first come first served, without tiers.
///
/// It knows exactly what it placed and gives an endpoint no more than its slots hold, so nothing
/// waits in an engine. It drops a request when its caller gives up.
#[derive(Clone, Debug)]
pub struct Central {
    queue: collections::BTreeSet<usize>,
    running: collections::HashMap<usize, usize>,
    load: Vec<u32>,
    slots: Vec<u32>,
    usable: Vec<bool>,
    lost: bool,
    traffic: policy::Traffic,
}

impl Central {
    /// Creates the baseline.
    pub fn new(fleet: &policy::Fleet) -> Self {
        let count = fleet.endpoints.len();
        Self {
            queue: collections::BTreeSet::new(),
            running: collections::HashMap::new(),
            load: vec![0; count],
            slots: fleet.endpoints.iter().map(|endpoint| endpoint.slots).collect(),
            usable: vec![true; count],
            lost: false,
            traffic: policy::Traffic::default(),
        }
    }

    /// Takes in one event.
    pub fn step(&mut self, input: policy::Input<'_>, actions: &mut Vec<policy::Action>) {
        match input {
            policy::Input::Arrive(arrival) => {
                self.traffic.count(&arrival.ask(arrival.patience), 1);
                self.queue.insert(arrival.number());
            }
            policy::Input::GiveUp(arrival) => {
                self.queue.remove(&arrival.number());
            }
            policy::Input::Ended(arrival, _) => {
                self.traffic.count(&arrival.key, 1);
                self.release(arrival.number());
            }
            policy::Input::Leaving(endpoint) => self.usable[endpoint] = false,
            policy::Input::Gone(endpoint) => {
                self.usable[endpoint] = false;
                self.running.retain(|_, at| *at != endpoint);
            }
            policy::Input::SchedulerLost => self.lost = true,
            policy::Input::SchedulerReplaced => self.lost = false,
            _ => {}
        }
        self.place(actions);
    }

    /// Returns the messages so far.
    pub fn traffic(&self) -> policy::Traffic {
        self.traffic
    }

    fn release(&mut self, number: usize) {
        if let Some(endpoint) = self.running.remove(&number) {
            self.load[endpoint] -= 1;
        }
    }

    fn place(&mut self, actions: &mut Vec<policy::Action>) {
        while !self.lost {
            let Some(endpoint) = self.free() else { return };
            let Some(number) = self.queue.pop_first() else { return };
            self.load[endpoint] += 1;
            self.running.insert(number, endpoint);
            self.traffic.count(&(number as u64, endpoint as u64), 1);
            actions.push(policy::Action::Place { number, endpoint });
        }
    }

    /// Returns the usable endpoint with the most free slots, if any has one.
    fn free(&self) -> Option<usize> {
        let free = |at: &usize| self.slots[*at] - self.load[*at];
        let usable = (0..self.slots.len()).filter(|at| self.usable[*at] && free(at) > 0);
        usable.max_by_key(|at| (free(at), std::cmp::Reverse(*at)))
    }
}
