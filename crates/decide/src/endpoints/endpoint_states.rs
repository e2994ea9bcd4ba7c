//! The availability of a pool shard's endpoints, as reported to its scheduler.

use std::{collections, sync};

use trefoildyke_types::{id, resource, time::Timestamp};

use crate::{config, endpoints, endpoints::endpoint_state, schedule};

/// Decides which endpoints of one pool shard get new work.
///
/// An endpoint gets new work if the configuration contains it and no planned stop holds it, the
/// platform's list does not show its host as leaving or gone, and it has answered recently. A host
/// that the list has never contained does not count as gone, because the list lags behind.
///
/// A new endpoint counts as having answered, so that a new scheduler can continue at once. But no
/// endpoint gets work before the list was read, or [`endpoints::Params::list_wait`] has passed
/// without a reading. The same holds after a pause of this process, since everything may have
/// changed during it.
///
/// Each method that handles an event returns the inputs for the scheduler, in order.
///
/// ```
/// use trefoildyke_decide::{config, endpoints};
/// use trefoildyke_types::time::Timestamp;
///
/// let params = endpoints::Params::default();
/// let mut states = endpoints::EndpointStates::new("drafting".into(), 0, params);
/// let inputs = states.apply_config(Timestamp::ZERO, &config::Snapshot::default());
/// assert!(inputs.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct EndpointStates {
    pool: id::PoolName,
    shard: u16,
    params: endpoints::Params,
    /// When the first call came, or the first call after a pause.
    since: Option<Timestamp>,
    /// When the last call came.
    last_call: Timestamp,
    /// The last reading of the platform's list; `None` until a reading that began at or after
    /// `since` arrives.
    hosts: Option<sync::Arc<endpoints::Hosts>>,
    endpoints: collections::BTreeMap<id::EndpointName, endpoint_state::EndpointState>,
}

impl EndpointStates {
    /// Creates the state of one shard of a pool, without endpoints.
    pub fn new(pool: id::PoolName, shard: u16, params: endpoints::Params) -> Self {
        Self {
            pool,
            shard,
            params,
            since: None,
            last_call: Timestamp::ZERO,
            hosts: None,
            endpoints: collections::BTreeMap::new(),
        }
    }

    /// Returns the endpoints that must be asked for their load, with their descriptions.
    ///
    /// This includes those that get no new work but still have some.
    pub fn polled(&self) -> impl Iterator<Item = (&id::EndpointName, &resource::EndpointSpec)> {
        self.endpoints.iter().map(|(name, state)| (name, &state.spec))
    }

    /// Applies a version of the configuration.
    pub fn apply_config(
        &mut self,
        now: Timestamp,
        snapshot: &config::Snapshot,
    ) -> Vec<schedule::Input> {
        let mut inputs = self.detect_pause(now);
        let shards = snapshot.pool(&self.pool).map_or(0, |pool| pool.shards);
        let mut missing: collections::BTreeSet<_> = self.endpoints.keys().cloned().collect();
        for name in snapshot.endpoints_of(&self.pool) {
            let Some(spec) = snapshot.endpoint(name) else { continue };
            if endpoints::shard_of(name, shards) == self.shard {
                missing.remove(name);
                self.update_endpoint(now, name, spec, snapshot.stops_endpoint(name));
            }
        }
        for name in missing {
            if let Some(state) = self.endpoints.get_mut(&name) {
                state.deleted.get_or_insert(now);
            }
        }
        inputs.extend(self.tick(now));
        inputs
    }

    /// Applies a reading of the platform's list that was started at `started`.
    pub fn set_hosts(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        hosts: sync::Arc<endpoints::Hosts>,
    ) -> Vec<schedule::Input> {
        let mut inputs = self.detect_pause(now);
        if self.since.is_none_or(|since| started >= since) || self.hosts.is_some() {
            self.hosts = Some(hosts);
        }
        inputs.extend(self.tick(now));
        inputs
    }

    /// Returns whether the endpoints that get work have been determined.
    ///
    /// Before that the scheduler knows of no endpoint, which does not mean that there is none.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let waited = self.since.is_some_and(|since| now.since(since) >= self.params.list_wait);
        self.hosts.is_some() || waited
    }

    /// Records that an endpoint answered a call.
    pub fn answered(&mut self, now: Timestamp, name: &id::EndpointName) -> Vec<schedule::Input> {
        let mut inputs = self.detect_pause(now);
        if let Some(state) = self.endpoints.get_mut(name) {
            state.last_answer = now;
        }
        inputs.extend(self.tick(now));
        inputs
    }

    /// Updates what changes by the passing of time alone; must be called several times per second.
    pub fn tick(&mut self, now: Timestamp) -> Vec<schedule::Input> {
        let mut inputs = self.detect_pause(now);
        if !self.is_ready(now) {
            return inputs;
        }
        let no_hosts = endpoints::Hosts::default();
        let hosts = self.hosts.as_deref().unwrap_or(&no_hosts);
        for (name, state) in &mut self.endpoints {
            state.was_listed |= hosts.contains(&state.spec.host);
            let status = if state.is_usable(now, hosts, &self.params) {
                endpoint_state::SentStatus::Up(state.info(name))
            } else if state.sent == endpoint_state::SentStatus::Nothing {
                continue;
            } else {
                endpoint_state::SentStatus::Leaving
            };
            if status != state.sent {
                inputs.push(to_input(name, &status));
                state.sent = status;
            }
        }
        self.remove_deleted(now, &mut inputs);
        inputs
    }

    /// Takes all endpoints out of use if this is the first call or this process was paused until
    /// now.
    fn detect_pause(&mut self, now: Timestamp) -> Vec<schedule::Input> {
        let was_paused = now.since(self.last_call) > self.params.pause_limit;
        self.last_call = now;
        if self.since.is_some() && !was_paused {
            return Vec::new();
        }
        self.since = Some(now);
        self.hosts = None;
        let mut inputs = Vec::new();
        for (name, state) in &mut self.endpoints {
            state.last_answer = now;
            if matches!(state.sent, endpoint_state::SentStatus::Up(_)) {
                state.sent = endpoint_state::SentStatus::Leaving;
                inputs.push(to_input(name, &state.sent));
            }
        }
        inputs
    }

    fn update_endpoint(
        &mut self,
        now: Timestamp,
        name: &id::EndpointName,
        spec: &resource::EndpointSpec,
        is_stopped: bool,
    ) {
        let new_state = || endpoint_state::EndpointState::new(spec.clone(), now);
        let state = self.endpoints.entry(name.clone()).or_insert_with(new_state);
        if state.spec.host != spec.host {
            state.was_listed = false;
        }
        if state.spec.address != spec.address {
            state.last_answer = now;
        }
        state.spec.clone_from(spec);
        state.is_stopped = is_stopped;
        state.deleted = None;
    }

    fn remove_deleted(&mut self, now: Timestamp, inputs: &mut Vec<schedule::Input>) {
        let limit = self.params.forget_after;
        self.endpoints.retain(|name, state| {
            let is_expired = state.deleted.is_some_and(|at| now.since(at) >= limit);
            if is_expired && state.sent != endpoint_state::SentStatus::Nothing {
                inputs.push(schedule::Input::EndpointGone(name.clone()));
            }
            !is_expired
        });
    }
}

fn to_input(name: &id::EndpointName, status: &endpoint_state::SentStatus) -> schedule::Input {
    match status {
        endpoint_state::SentStatus::Up(info) => schedule::Input::EndpointUp(info.clone()),
        endpoint_state::SentStatus::Nothing | endpoint_state::SentStatus::Leaving => {
            schedule::Input::EndpointLeaving(name.clone())
        }
    }
}
