//! The state of a pool's endpoints at one moment.

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{
    self, Pool,
    pool::{averages, endpoint, load},
};

/// How far an endpoint's failure rate must exceed the average for it to get only one request at a time, and
/// only requests that may be repeated.
///
/// This guards against a burst on a service of which one endpoint fails every request at once and so is the
/// only one with free slots. Waiting for another endpoint is better. The value is well above the variation
/// of eight answers at the average rate.
const FAILING_MARGIN: f64 = 0.4;

/// The free capacity of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Capacity {
    /// The number of slots free for any request.
    pub(super) slots: usize,
    /// Whether a request may wait at the endpoint itself for its next slot.
    pub(super) can_queue: bool,
    /// Whether it may be probed with one request that may be repeated.
    pub(super) can_probe: bool,
}

impl Capacity {
    const NONE: Self = Self { slots: 0, can_queue: false, can_probe: false };
}

/// An endpoint with free capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) name: &'a id::EndpointName,
    pub(super) endpoint: &'a endpoint::Endpoint,
    pub(super) load: load::Load,
    pub(super) capacity: Capacity,
}

/// A snapshot of the endpoints at one moment.
#[derive(Clone, Debug)]
pub(super) struct View<'a> {
    pub(super) averages: averages::Averages,
    /// The number of slots free for any request.
    pub(super) free_slots: usize,
    /// The time that the fastest endpoint takes to read a prompt token, in milliseconds.
    pub(super) least_prompt_ms: f64,
    pub(super) candidates: Vec<Candidate<'a>>,
    /// The endpoints of the canary version.
    pub(super) canaries: Vec<Candidate<'a>>,
}

impl Pool {
    /// Returns the endpoints with free capacity as of `now`.
    pub(super) fn view(&self, now: Timestamp) -> View<'_> {
        let averages = self.averages;
        let mut view = View {
            averages,
            free_slots: 0,
            least_prompt_ms: f64::INFINITY,
            candidates: Vec::new(),
            canaries: Vec::new(),
        };
        let mut canaries = self.canary_count(now);
        for (name, endpoint) in &self.endpoints {
            if !endpoint.is_usable(now) {
                continue;
            }
            match self.versions.access(&endpoint.version) {
                gateway::Access::Full => {}
                gateway::Access::Canary if canaries > 0 => {
                    canaries -= 1;
                    let load = endpoint.load();
                    let capacity = self.capacity(now, endpoint, load, averages);
                    if capacity.slots > 0 || capacity.can_probe {
                        view.canaries.push(Candidate { name, endpoint, load, capacity });
                    }
                    continue;
                }
                gateway::Access::Canary | gateway::Access::None => continue,
            }
            view.least_prompt_ms = view.least_prompt_ms.min(endpoint.prompt_ms());
            let load = endpoint.load();
            let capacity = self.capacity(now, endpoint, load, averages);
            view.free_slots += capacity.slots;
            if capacity.slots > 0 || capacity.can_queue || capacity.can_probe {
                view.candidates.push(Candidate { name, endpoint, load, capacity });
            }
        }
        view
    }

    /// Returns the free capacity of an endpoint.
    pub(super) fn capacity(
        &self,
        now: Timestamp,
        endpoint: &endpoint::Endpoint,
        load: load::Load,
        averages: averages::Averages,
    ) -> Capacity {
        let available = endpoint.rate_limit.available(now);
        if available == Some(0) {
            return Capacity::NONE;
        }
        let is_failing = endpoint.failure_rate() > averages.failure_rate + FAILING_MARGIN;
        if !is_failing && !endpoint.is_suspect(now, load, &self.params) {
            let slots = endpoint.slots.saturating_sub(load.running) as usize;
            let can_queue = slots == 0 && self.may_queue_at(endpoint, load);
            let slots = slots.min(available.unwrap_or(usize::MAX));
            return Capacity { slots, can_queue, can_probe: false };
        }
        Capacity { slots: 0, can_queue: false, can_probe: load.running == 0 }
    }

    /// Returns whether a request may wait at an endpoint without a free slot.
    ///
    /// This serves short requests of a plain service at more than nine tenths of its capacity. A free slot
    /// stays unused until the end of its request was reported, the slot was granted and the next request
    /// has arrived, some 10 ms of 60. If one request waits at the endpoint itself, the slot is taken at
    /// once. Requests do not wait at engines: more urgent requests could not overtake them there for as
    /// long as an answer takes.
    fn may_queue_at(&self, endpoint: &endpoint::Endpoint, load: load::Load) -> bool {
        let is_engine = self.event_tokens > 0;
        !is_engine && endpoint.slots >= self.params.queue_slots && load.running <= endpoint.slots
    }
}
