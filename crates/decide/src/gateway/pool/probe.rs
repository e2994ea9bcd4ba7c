//! Probes of idle endpoints that the estimates exclude.

use std::time;

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{self, Grant, Pool, PoolRequest, pool::endpoint};

/// A request that was granted a slot of an endpoint in spite of the estimates for it.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Probe {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// How long it had been idle, in milliseconds.
    pub idle_ms: u64,
    /// The estimated time to the request's first event there, in milliseconds.
    pub first_ms: u32,
    /// The estimated time between two tokens there, in milliseconds.
    pub step_ms: f64,
}

/// How long an endpoint must have been idle to be probed.
const IDLE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// The most probes that are kept until [`Pool::take_probes`] is called.
const MAX_PROBES: usize = 100;

impl Pool {
    /// Grants a request that would be late or refused the slot of an idle endpoint, whatever the estimates and
    /// the failures there.
    ///
    /// Only requests correct what is known of an endpoint. One that gets none because of that would otherwise
    /// stay unused for good, as would one that has failed if no request may be repeated. The result of a probe
    /// outweighs what was measured before.
    pub(super) fn grant_probe(&mut self, now: Timestamp, request: &PoolRequest) -> Option<Grant> {
        let idle_time = |(name, endpoint): (&id::EndpointName, &endpoint::Endpoint)| {
            let idle = endpoint.idle_time(now).filter(|idle| *idle >= IDLE_PERIOD)?;
            self.may_probe(now, request, name, endpoint).then(|| (idle, name.clone()))
        };
        let (idle, name) = self.endpoints.iter().filter_map(idle_time).max()?;
        let endpoint = self.endpoints.get_mut(&name)?;
        let uncached = endpoint.uncached_tokens(request);
        endpoint.discount_estimates();
        let step_ms = endpoint.step_ms();
        self.record_placement(&name, request);
        let grant = self.start_request(now, name.clone(), request, uncached)?;
        if self.probes.len() < MAX_PROBES {
            let idle_ms = idle.as_millis() as u64;
            self.probes.push(Probe { endpoint: name, idle_ms, first_ms: grant.first_ms, step_ms });
        }
        Some(grant)
    }

    /// Returns how many endpoints that take requests have had none for a second, if requests wait; otherwise 0.
    pub fn passed_over(&self, now: Timestamp) -> usize {
        if self.queue.len() == 0 {
            return 0;
        }
        let is_idle = |endpoint: &&endpoint::Endpoint| {
            self.versions.access(&endpoint.version) == gateway::Access::Full
                && endpoint.is_usable(now)
                && endpoint.idle_time(now).is_some_and(|idle| idle >= IDLE_PERIOD)
        };
        self.endpoints.values().filter(is_idle).count()
    }

    /// Returns the probes since the last call.
    pub fn take_probes(&mut self) -> Vec<Probe> {
        std::mem::take(&mut self.probes)
    }

    fn may_probe(
        &self,
        now: Timestamp,
        request: &PoolRequest,
        name: &id::EndpointName,
        endpoint: &endpoint::Endpoint,
    ) -> bool {
        let has_access = self.versions.access(&endpoint.version) == gateway::Access::Full;
        let capacity = self.capacity(now, endpoint, endpoint.load(), self.averages);
        let has_capacity = capacity.slots > 0 || capacity.can_probe;
        endpoint.is_usable(now)
            && has_access
            && has_capacity
            && request.fits(&endpoint.version)
            && !request.tried.contains(name)
    }
}
