//! Handling of endpoint changes, load reports and endpoint health.

use std::time;

use trefoildyke_types::{engine, id, time::Timestamp};

use crate::schedule::{self, fleet};

/// The interval between two checks of the endpoints' health.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

impl schedule::Shard {
    pub(super) fn endpoint_up(&mut self, now: Timestamp, info: &schedule::EndpointInfo) {
        let index = self.fleet.set(info, &self.params, now);
        self.index.resize(index, info.cache_tokens);
        self.work_rates.update_capacity(&self.fleet);
        self.may_grant = true;
    }

    pub(super) fn endpoint_leaving(&mut self, name: &id::EndpointName) {
        let Some(index) = self.fleet.index_of(name) else { return };
        if let Some(endpoint) = self.fleet.get_mut(index) {
            endpoint.leaving = true;
        }
        self.work_rates.update_capacity(&self.fleet);
        self.may_grant = true;
    }

    pub(super) fn endpoint_gone(&mut self, now: Timestamp, name: &id::EndpointName) {
        let Some(index) = self.fleet.index_of(name) else { return };
        let was_leaving = self.fleet.get(index).is_some_and(|endpoint| endpoint.leaving);
        self.fleet.remove(name);
        self.index.clear(index);
        let lost = self.permitted.extract_if(|_, permitted| permitted.endpoint == index);
        for (_, permitted) in lost.filter(|_| !was_leaving).collect::<Vec<_>>() {
            self.record_crash(now, name.clone(), &permitted);
        }
        let permitted = &self.permitted;
        self.permit_expiries.retain(|(_, key)| permitted.contains_key(key));
        self.work_rates.update_capacity(&self.fleet);
        self.may_grant = true;
    }

    pub(super) fn cache(&mut self, endpoint: &id::EndpointName, events: &[engine::CacheEvent]) {
        let Some(index) = self.fleet.index_of(endpoint) else { return };
        for event in events {
            self.index.apply_event(index, event);
        }
    }

    /// Handles a load report, which corrects the number of external requests and may show a
    /// recovery.
    pub(super) fn load(
        &mut self,
        name: &id::EndpointName,
        as_of: Timestamp,
        report: &engine::LoadReport,
    ) {
        let Some(index) = self.fleet.index_of(name) else { return };
        let dispatched = self.permitted.values().filter(|permitted| {
            permitted.endpoint == index && permitted.dispatched_at().is_some_and(|at| at <= as_of)
        });
        let known = dispatched.count() as u32;
        let median = self.fleet.median_slowdown();
        let Some(endpoint) = self.fleet.get_mut(index) else { return };
        endpoint.update_external(known + endpoint.ended_after(as_of), report);
        let has_progress = endpoint.record_load(report);
        let fleet::Health::Suspended { cause, since, .. } = endpoint.health else { return };
        let step = report.step_us as f64 / 1e6;
        let limit = endpoint.speed.baseline_step() * median * self.params.recovery_ratio();
        let is_recovered = report.step_us > 0 && step <= limit;
        if as_of > since && has_progress && (is_recovered || cause == fleet::Cause::Silent) {
            endpoint.speed.reset_recent();
            endpoint.health = fleet::Health::Trial;
            self.may_grant = true;
        }
    }

    /// Updates the endpoints' health if a check is due, and requests the probes that are due.
    pub(super) fn check_health(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        if now < self.next_check {
            return;
        }
        self.next_check = now + CHECK_INTERVAL;
        self.decide_blocks(now);
        let median = self.fleet.median_slowdown();
        for (_, endpoint) in self.fleet.iter_mut() {
            let before = endpoint.health;
            endpoint.update_health(now, median, &self.params);
            if endpoint.health.take_probe(now, &self.params) {
                outputs.push(schedule::Output::Probe(endpoint.name.clone()));
            }
            self.may_grant |= before.is_suspended() && !endpoint.health.is_suspended();
        }
    }

    pub(super) fn is_any_suspended(&self) -> bool {
        self.fleet.iter().any(|(_, endpoint)| endpoint.health.is_suspended())
    }
}
