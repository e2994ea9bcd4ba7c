//! The tracked state of one endpoint.

use trefoildyke_types::{id, resource, time};

use crate::{endpoints, schedule};

/// The last status that the scheduler was sent for an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SentStatus {
    Nothing,
    Up(schedule::EndpointInfo),
    Leaving,
}

/// The state of an endpoint from which its availability follows.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) spec: resource::EndpointSpec,
    /// Whether a planned stop in the configuration holds the endpoint.
    pub(super) is_stopped: bool,
    /// When the endpoint disappeared from the configuration.
    pub(super) deleted: Option<time::Timestamp>,
    /// Whether the platform's list has ever contained the endpoint's host.
    pub(super) was_listed: bool,
    /// When the endpoint last answered, or when it was added, its address changed or a pause of
    /// this process ended.
    pub(super) last_answer: time::Timestamp,
    pub(super) sent: SentStatus,
}

impl EndpointState {
    pub(super) fn new(spec: resource::EndpointSpec, now: time::Timestamp) -> Self {
        Self {
            spec,
            is_stopped: false,
            deleted: None,
            was_listed: false,
            last_answer: now,
            sent: SentStatus::Nothing,
        }
    }

    /// Returns whether the endpoint may get new work.
    pub(super) fn is_usable(
        &self,
        now: time::Timestamp,
        hosts: &endpoints::Hosts,
        params: &endpoints::Params,
    ) -> bool {
        let host = &self.spec.host;
        let host_is_gone = self.was_listed && !hosts.contains(host);
        let is_enabled = !self.is_stopped && self.deleted.is_none();
        let is_reachable = now.since(self.last_answer) < params.unreachable_after;
        is_enabled && !host_is_gone && !hosts.leaving.contains(host) && is_reachable
    }

    pub(super) fn info(&self, name: &id::EndpointName) -> schedule::EndpointInfo {
        schedule::EndpointInfo {
            endpoint: name.clone(),
            slots: self.spec.slots,
            cache_tokens: self.spec.cache_tokens,
        }
    }
}
