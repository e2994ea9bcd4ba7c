//! How endpoints come and go, and how their health is followed.

use std::time;

use trefoildyke_types::{engine, id, time::Timestamp};

use crate::schedule::{self, fleet};

/// How often the endpoints' health is looked at.
const CHECK: time::Duration = time::Duration::from_millis(100);

impl schedule::Shard {
    pub(super) fn endpoint_up(&mut self, now: Timestamp, info: &schedule::EndpointInfo) {
        let number = self.fleet.set(info, &self.params, now);
        self.index.resize(number, info.cache_tokens);
        self.flow.weigh(&self.fleet);
        self.is_changed = true;
    }

    pub(super) fn endpoint_leaving(&mut self, name: &id::EndpointName) {
        let Some(number) = self.fleet.number(name) else { return };
        if let Some(endpoint) = self.fleet.get_mut(number) {
            endpoint.leaving = true;
        }
        self.flow.weigh(&self.fleet);
        self.is_changed = true;
    }

    pub(super) fn endpoint_gone(&mut self, name: &id::EndpointName) {
        let Some(number) = self.fleet.remove(name) else { return };
        self.index.clear(number);
        self.permitted.retain(|_, permitted| permitted.endpoint != number);
        let permitted = &self.permitted;
        self.lapses.retain(|(_, key)| permitted.contains_key(key));
        self.flow.weigh(&self.fleet);
        self.is_changed = true;
    }

    pub(super) fn cache(&mut self, endpoint: &id::EndpointName, events: &[engine::CacheEvent]) {
        let Some(number) = self.fleet.number(endpoint) else { return };
        for event in events {
            self.index.publish(number, event);
        }
    }

    /// Takes in a load report, which corrects what is known and may show a recovery.
    pub(super) fn load(
        &mut self,
        name: &id::EndpointName,
        as_of: Timestamp,
        report: &engine::LoadReport,
    ) {
        let Some(number) = self.fleet.number(name) else { return };
        let sent = self.permitted.values().filter(|permitted| {
            permitted.endpoint == number && permitted.sent().is_some_and(|sent| sent <= as_of)
        });
        let sent = sent.count() as u32;
        let median = self.fleet.median_slowness();
        let Some(endpoint) = self.fleet.get_mut(number) else { return };
        endpoint.correct(sent + endpoint.ended_after(as_of), report);
        let worked = endpoint.worked_since(report);
        let fleet::Health::Suspended { finding, since, .. } = endpoint.health else { return };
        let step = report.step_us as f64 / 1e6;
        let limit = endpoint.rates.usual_step() * median * self.params.recovery_ratio();
        let is_usual = report.step_us > 0 && step <= limit;
        if as_of > since && worked && (is_usual || finding == fleet::Finding::Silent) {
            endpoint.rates.expect_usual();
            endpoint.health = fleet::Health::Trial;
            self.is_changed = true;
        }
    }

    /// Looks at the endpoints' health now and then.
    pub(super) fn watch(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        if now < self.check {
            return;
        }
        self.check = now + CHECK;
        let median = self.fleet.median_slowness();
        for (_, endpoint) in self.fleet.iter_mut() {
            let before = endpoint.health;
            endpoint.look(now, median, &self.params);
            if endpoint.health.take_probe(now, &self.params) {
                outputs.push(schedule::Output::Probe(endpoint.name.clone()));
            }
            self.is_changed |= before.is_suspended() && !endpoint.health.is_suspended();
        }
    }

    pub(super) fn is_any_suspended(&self) -> bool {
        self.fleet.iter().any(|(_, endpoint)| endpoint.health.is_suspended())
    }
}
