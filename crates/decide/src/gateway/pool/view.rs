//! The endpoints of a pool as they are at one moment.

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{
    self, Pool,
    pool::{endpoint, load, usual},
};

/// By how much more of its answers than usual an endpoint must fail to be given only one request at a
/// time, and only such as may be repeated.
///
/// The load that this answers: a burst on a service of which one endpoint fails at once whatever it is
/// sent, and so is the only one with free slots. Waiting for another is better than that. Well
/// above what eight answers vary by at the usual rate.
const FAILING: f64 = 0.4;

/// What is free at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    /// Slots for any request.
    pub(super) slots: usize,
    /// Whether a request may wait at the endpoint itself for its next slot.
    pub(super) is_next: bool,
    /// Whether it may be tried with one request that may be repeated.
    pub(super) is_probe: bool,
}

impl Room {
    const NONE: Self = Self { slots: 0, is_next: false, is_probe: false };
}

/// An endpoint at which something is free.
#[derive(Clone, Copy, Debug)]
pub(super) struct Open<'a> {
    pub(super) name: &'a id::EndpointName,
    pub(super) endpoint: &'a endpoint::Endpoint,
    pub(super) load: load::Load,
    pub(super) room: Room,
}

/// The endpoints as they are at one moment.
#[derive(Clone, Debug)]
pub(super) struct View<'a> {
    pub(super) usual: usual::Usual,
    /// Free slots for any request.
    pub(super) free: usize,
    /// How long the fastest endpoint takes for a prompt token, in milliseconds.
    pub(super) least_prompt_ms: f64,
    pub(super) open: Vec<Open<'a>>,
    /// Those of the version that is tried.
    pub(super) tried: Vec<Open<'a>>,
}

impl Pool {
    /// Returns the endpoints with free slots as of now.
    pub(super) fn view(&self, now: Timestamp) -> View<'_> {
        let usual = self.usual;
        let mut view = View {
            usual,
            free: 0,
            least_prompt_ms: f64::INFINITY,
            open: Vec::new(),
            tried: Vec::new(),
        };
        let mut tried = self.tried_count(now);
        for (name, endpoint) in &self.endpoints {
            if !endpoint.is_usable(now) {
                continue;
            }
            match self.versions.access(&endpoint.version) {
                gateway::Access::Full => {}
                gateway::Access::Canary if tried > 0 => {
                    tried -= 1;
                    let load = endpoint.load();
                    let room = self.room(now, endpoint, load, usual);
                    if room.slots > 0 || room.is_probe {
                        view.tried.push(Open { name, endpoint, load, room });
                    }
                    continue;
                }
                gateway::Access::Canary | gateway::Access::None => continue,
            }
            view.least_prompt_ms = view.least_prompt_ms.min(endpoint.prompt_ms());
            let load = endpoint.load();
            let room = self.room(now, endpoint, load, usual);
            view.free += room.slots;
            if room.slots > 0 || room.is_next || room.is_probe {
                view.open.push(Open { name, endpoint, load, room });
            }
        }
        view
    }

    /// Returns what is free at an endpoint.
    fn room(
        &self,
        now: Timestamp,
        endpoint: &endpoint::Endpoint,
        load: load::Load,
        usual: usual::Usual,
    ) -> Room {
        let available = endpoint.rate_limit.available(now);
        if available == Some(0) {
            return Room::NONE;
        }
        let is_failing = endpoint.failure_part() > usual.failures + FAILING;
        if !is_failing && !endpoint.is_doubted(now, load, &self.params) {
            let slots = endpoint.slots.saturating_sub(load.running) as usize;
            let is_next = slots == 0 && self.may_queue(endpoint, load);
            let slots = slots.min(available.unwrap_or(usize::MAX));
            return Room { slots, is_next, is_probe: false };
        }
        Room { slots: 0, is_next: false, is_probe: load.running == 0 }
    }

    /// Says whether a request may wait at an endpoint that is full.
    ///
    /// The load that this answers: short requests of a plain service at more than nine tenths of what it can do. A slot
    /// that becomes free stays so until its end was told, a place was given and a request has come, some 10 ms of
    /// 60. With one that waits at the endpoint itself the slot is taken at once.
    /// Not at engines: what waits there cannot be
    /// passed by what is more urgent, for as long as an answer takes.
    fn may_queue(&self, endpoint: &endpoint::Endpoint, load: load::Load) -> bool {
        let is_engine = self.event_tokens > 0;
        !is_engine && endpoint.slots >= self.params.queue_slots && load.running <= endpoint.slots
    }
}
