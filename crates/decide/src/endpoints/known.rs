//! One endpoint as the standings know it.

use trefoildyke_types::{id, resource, time};

use crate::{endpoints, schedule};

/// What the scheduler was told last of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Told {
    Nothing,
    Up(schedule::EndpointInfo),
    Leaving,
}

/// What is known of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) spec: resource::EndpointSpec,
    /// Whether the configuration takes it out of use.
    pub(super) stopped: bool,
    /// When the configuration ceased to name it.
    pub(super) deleted: Option<time::Timestamp>,
    /// Whether the platform's list has ever named its host.
    pub(super) was_listed: bool,
    /// When it answered last, or became known.
    pub(super) answered: time::Timestamp,
    pub(super) told: Told,
}

impl Known {
    pub(super) fn new(spec: resource::EndpointSpec, now: time::Timestamp) -> Self {
        Self {
            spec,
            stopped: false,
            deleted: None,
            was_listed: false,
            answered: now,
            told: Told::Nothing,
        }
    }

    /// Returns whether it may get new work.
    pub(super) fn is_usable(
        &self,
        now: time::Timestamp,
        hosts: &endpoints::Hosts,
        params: &endpoints::Params,
    ) -> bool {
        let host = &self.spec.host;
        let has_left = self.was_listed && !hosts.names(host);
        let is_wanted = !self.stopped && self.deleted.is_none();
        let is_reachable = now.since(self.answered) < params.unreachable_after;
        is_wanted && !has_left && !hosts.leaving.contains(host) && is_reachable
    }

    pub(super) fn info(&self, name: &id::EndpointName) -> schedule::EndpointInfo {
        schedule::EndpointInfo {
            endpoint: name.clone(),
            slots: self.spec.slots,
            cache_tokens: self.spec.cache_tokens,
        }
    }
}
