//! What a pool shard's scheduler must know of its endpoints.

use std::{collections, sync};

use trefoildyke_types::{id, resource, time::Timestamp};

use crate::{config, endpoints, endpoints::known, schedule};

/// Decides which endpoints of one pool shard get new work.
///
/// An endpoint gets new work if the configuration names it and no planned stop holds it, the
/// platform's list does not show its host as leaving or gone, and it has answered lately. A host
/// that the list has never named yet does not count as gone, because the list lags. An endpoint
/// counts as having answered when it becomes known, so that a new scheduler can go on at once; but
/// nothing gets work before the list was read, or could not be for a while. The same holds after a
/// pause of this process, during which everything may have changed unseen.
///
/// Each method returns what the scheduler must be told, in order.
///
/// ```
/// use trefoildyke_decide::{config, endpoints};
/// use trefoildyke_types::time::Timestamp;
///
/// let params = endpoints::Params::default();
/// let mut standings = endpoints::Standings::new("drafting".into(), 0, params);
/// let told = standings.configure(Timestamp::ZERO, &config::Snapshot::default());
/// assert!(told.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Standings {
    pool: id::PoolName,
    shard: u16,
    params: endpoints::Params,
    /// When the standings were first called, or called again after a pause.
    since: Option<Timestamp>,
    /// When they were called last.
    called: Timestamp,
    /// The last reading of the platform's list; none that was begun before `since`.
    hosts: Option<sync::Arc<endpoints::Hosts>>,
    known: collections::BTreeMap<id::EndpointName, known::Known>,
}

impl Standings {
    /// Creates the standings of one shard of a pool, without endpoints.
    pub fn new(pool: id::PoolName, shard: u16, params: endpoints::Params) -> Self {
        Self {
            pool,
            shard,
            params,
            since: None,
            called: Timestamp::ZERO,
            hosts: None,
            known: collections::BTreeMap::new(),
        }
    }

    /// Returns the endpoints that are to be asked for their load, with their descriptions.
    ///
    /// That includes those that get no new work but still have some.
    pub fn watched(&self) -> impl Iterator<Item = (&id::EndpointName, &resource::EndpointSpec)> {
        self.known.iter().map(|(name, known)| (name, &known.spec))
    }

    /// Takes in a version of the configuration.
    pub fn configure(
        &mut self,
        now: Timestamp,
        snapshot: &config::Snapshot,
    ) -> Vec<schedule::Input> {
        let mut inputs = self.notice_pause(now);
        let shards = snapshot.pool(&self.pool).map_or(0, |pool| pool.shards);
        let mut missing: collections::BTreeSet<_> = self.known.keys().cloned().collect();
        for name in snapshot.endpoints_of(&self.pool) {
            let Some(spec) = snapshot.endpoint(name) else { continue };
            if endpoints::shard_of(name, shards) == self.shard {
                missing.remove(name);
                self.describe(now, name, spec, snapshot.stops_endpoint(name));
            }
        }
        for name in missing {
            if let Some(known) = self.known.get_mut(&name) {
                known.deleted.get_or_insert(now);
            }
        }
        inputs.extend(self.review(now));
        inputs
    }

    /// Takes in a reading of the platform's list that was begun at `begun`.
    pub fn list(
        &mut self,
        now: Timestamp,
        begun: Timestamp,
        hosts: sync::Arc<endpoints::Hosts>,
    ) -> Vec<schedule::Input> {
        let mut inputs = self.notice_pause(now);
        if self.since.is_none_or(|since| begun >= since) || self.hosts.is_some() {
            self.hosts = Some(hosts);
        }
        inputs.extend(self.review(now));
        inputs
    }

    /// Returns whether it was decided which endpoints get work.
    ///
    /// Before that the scheduler knows of none, which does not mean that there is none.
    pub fn is_decided(&self, now: Timestamp) -> bool {
        let waited = self.since.is_some_and(|since| now.since(since) >= self.params.list_wait);
        self.hosts.is_some() || waited
    }

    /// Notes that an endpoint answered a call.
    pub fn answered(&mut self, now: Timestamp, name: &id::EndpointName) -> Vec<schedule::Input> {
        let mut inputs = self.notice_pause(now);
        if let Some(known) = self.known.get_mut(name) {
            known.answered = now;
        }
        inputs.extend(self.review(now));
        inputs
    }

    /// Looks at what time alone changes; to be called several times a second.
    pub fn review(&mut self, now: Timestamp) -> Vec<schedule::Input> {
        let mut inputs = self.notice_pause(now);
        if !self.is_decided(now) {
            return inputs;
        }
        let unread = endpoints::Hosts::default();
        let hosts = self.hosts.as_deref().unwrap_or(&unread);
        for (name, known) in &mut self.known {
            known.was_listed |= hosts.names(&known.spec.host);
            let told = if known.is_usable(now, hosts, &self.params) {
                known::Told::Up(known.info(name))
            } else if known.told == known::Told::Nothing {
                continue;
            } else {
                known::Told::Leaving
            };
            if told != known.told {
                inputs.push(input(name, &told));
                known.told = told;
            }
        }
        self.forget(now, &mut inputs);
        inputs
    }

    /// Takes all endpoints out of use if this process was paused until now.
    fn notice_pause(&mut self, now: Timestamp) -> Vec<schedule::Input> {
        let was_paused = now.since(self.called) > self.params.pause_limit;
        self.called = now;
        if self.since.is_some() && !was_paused {
            return Vec::new();
        }
        self.since = Some(now);
        self.hosts = None;
        let mut inputs = Vec::new();
        for (name, known) in &mut self.known {
            known.answered = now;
            if matches!(known.told, known::Told::Up(_)) {
                known.told = known::Told::Leaving;
                inputs.push(input(name, &known.told));
            }
        }
        inputs
    }

    fn describe(
        &mut self,
        now: Timestamp,
        name: &id::EndpointName,
        spec: &resource::EndpointSpec,
        stopped: bool,
    ) {
        let fresh = || known::Known::new(spec.clone(), now);
        let known = self.known.entry(name.clone()).or_insert_with(fresh);
        if known.spec.host != spec.host {
            known.was_listed = false;
        }
        if known.spec.address != spec.address {
            known.answered = now;
        }
        known.spec.clone_from(spec);
        known.stopped = stopped;
        known.deleted = None;
    }

    fn forget(&mut self, now: Timestamp, inputs: &mut Vec<schedule::Input>) {
        let limit = self.params.forget_after;
        self.known.retain(|name, known| {
            let over = known.deleted.is_some_and(|at| now.since(at) >= limit);
            if over && known.told != known::Told::Nothing {
                inputs.push(schedule::Input::EndpointGone(name.clone()));
            }
            !over
        });
    }
}

fn input(name: &id::EndpointName, told: &known::Told) -> schedule::Input {
    match told {
        known::Told::Up(info) => schedule::Input::EndpointUp(info.clone()),
        known::Told::Nothing | known::Told::Leaving => {
            schedule::Input::EndpointLeaving(name.clone())
        }
    }
}
