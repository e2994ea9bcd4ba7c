//! Everything that the decisions of one daemon rest on.

use std::{collections, net, sync};

use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::{settings, state};

/// After how long without a digest a hub counts as not heard: two lost at rest. Until then keepers of a quota
/// give the part of one that is cut off.
const PEER_SILENCE: std::time::Duration = std::time::Duration::from_millis(650);

/// Holds the beliefs of one daemon. Its methods take the time and do no I/O.
pub(crate) struct Core {
    pool_params: gateway::PoolParams,
    retry: (std::time::Duration, f64, f64),
    pub(crate) table: Option<sync::Arc<gateway::Table>>,
    pub(crate) freshness: gateway::Freshness,
    pub(crate) quota: gateway::Quota,
    pub(crate) mesh: gateway::Mesh,
    pub(crate) roster: gateway::Roster,
    services: collections::HashMap<id::PoolName, state::Service>,
    /// By endpoint, its service.
    homes: collections::HashMap<id::EndpointName, id::PoolName>,
    pub(crate) deadlines: gateway::Deadlines,
    pub(crate) quarantine: gateway::Quarantine,
    pub(crate) rollouts: gateway::Rollouts,
    /// The part of a service's requests that a bad version may get.
    exposure: f64,
    started: Timestamp,
    /// When this daemon wrote its entry among the members again, since it had lapsed.
    pub(crate) rejoined: Option<Timestamp>,
    incarnation: u64,
    digests: u64,
    reports: u64,
    /// Whether this daemon has announced itself to the others.
    announced: bool,
    /// Whether a graceful stop has begun.
    stopping: bool,
}

/// Says which digest is made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DigestKind {
    /// Whether it is the first that this daemon says to all.
    pub(crate) starting: bool,
    /// Whether it tells of all accounts, not only of those that were used since the last.
    pub(crate) full: bool,
    /// Whether it is the last of this daemon.
    pub(crate) last: bool,
}

/// For how long after its start a daemon's picture of the quotas is not taken over by others.
const YOUNG: std::time::Duration = std::time::Duration::from_secs(5);

/// For how long after the last word of the store a version is tried: others may have found that it is bad. Each hears of
/// that within half a second while it hears others.
const TRIES: std::time::Duration = std::time::Duration::from_millis(2_500);

/// For how long after this daemon has written its lapsed entry again members that are missing in the list do not count as gone:
/// two renewals, and a pause after a call that failed.
const MEMBERS_BACK: std::time::Duration = std::time::Duration::from_secs(4);

impl Core {
    pub(crate) fn new(settings: &settings::Settings, incarnation: u64) -> Self {
        Self {
            pool_params: settings.pool.clone(),
            retry: (settings.retry_window, settings.retry_ratio, settings.retry_fixed),
            table: None,
            freshness: gateway::Freshness::new(settings.key_age),
            quota: gateway::Quota::new(settings.quota),
            mesh: gateway::Mesh::new(settings.listen.peers, PEER_SILENCE)
                .with_strength(settings.strength),
            roster: gateway::Roster::new(settings.list_grace),
            services: collections::HashMap::new(),
            homes: collections::HashMap::new(),
            deadlines: gateway::Deadlines::default(),
            quarantine: gateway::Quarantine::new(settings.quarantine),
            rollouts: gateway::Rollouts::default(),
            exposure: settings.exposure,
            started: Timestamp::ZERO,
            rejoined: None,
            incarnation,
            digests: 0,
            reports: 0,
            announced: false,
            stopping: false,
        }
    }

    pub(crate) const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Puts a version in force; says whether it is newer than the one before.
    pub(crate) fn configure(&mut self, now: Timestamp, config: gateway::Config) -> bool {
        let before = self.table.as_ref().map(|table| table.config().version);
        if before.is_some_and(|before| before >= config.version) {
            return false;
        }
        self.quota.open(now, &config.accounts);
        for service in &config.services {
            self.service(&service.name).pool.set_event_tokens(service.event_tokens);
        }
        self.table = Some(sync::Arc::new(gateway::Table::new(config)));
        true
    }

    /// Returns the service, which exists from its first mention on.
    pub(crate) fn service(&mut self, name: &id::PoolName) -> &mut state::Service {
        let new = || {
            let pool = gateway::Pool::new(self.pool_params.clone(), 0);
            let (window, ratio, fixed) = self.retry;
            let budget = gateway::RetryBudget::new(self.started, window, ratio, fixed);
            state::Service::new(name.clone(), pool, budget)
        };
        self.services.entry(name.clone()).or_insert_with(new)
    }

    /// Returns what this daemon knows of the store, for another member that has a list of endpoints
    /// with the mark `roster`; `None` if that is nothing.
    pub(crate) fn reply(
        &self,
        now: Timestamp,
        stamp: u64,
        roster: u64,
    ) -> Option<gateway::Message> {
        let ms = |age: std::time::Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let since = |time: Option<Timestamp>| time.map(|time| ms(now.since(time)));
        let view = gateway::StoreView {
            version: self.table.as_ref()?.config().version,
            confirmed: ms(self.freshness.age(now)?),
            roster: self.roster.mark(),
            read: since(self.roster.read())?,
            steady: since(self.roster.steady()).unwrap_or(0),
        };
        let changes = self.roster.changes_since(roster);
        let answered = !self.mesh.is_unanswered();
        Some(gateway::Message::Reply { stamp, view, answered, changes })
    }

    /// Takes in the changes of the list of endpoints.
    pub(crate) fn list(&mut self, now: Timestamp, changes: &[gateway::RosterChange]) {
        let listed = changes.iter().filter_map(|change| match change {
            gateway::RosterChange::Listed(entry) => Some(entry),
            gateway::RosterChange::Gone(_) => None,
        });
        self.rollouts.note_listed(&listed.collect::<Vec<_>>());
        for change in changes {
            match change {
                gateway::RosterChange::Listed(entry) => {
                    self.homes.insert(entry.endpoint.clone(), entry.service.clone());
                    self.service(&entry.service).pool.list(now, entry);
                }
                gateway::RosterChange::Gone(endpoint) => {
                    if let Some(home) = self.homes.remove(endpoint) {
                        self.service(&home).pool.remove(endpoint);
                    }
                }
            }
        }
        if !changes.is_empty() {
            self.set_gates(now);
            self.hand_out_all(now);
        }
    }

    /// Takes in the list of members; says whether this daemon has others to announce itself to for the first time.
    pub(crate) fn members(&mut self, now: Timestamp, list: &[gateway::Peer]) -> bool {
        // Where this daemon's entry had lapsed, others' may have as well, and are written again.
        if self.rejoined.is_none_or(|rejoined| now.since(rejoined) >= MEMBERS_BACK) {
            for peer in self.mesh.replace(now, list) {
                self.forget(now, peer);
            }
        } else {
            self.mesh.extend(now, list);
        }
        self.note_hubs(now);
        let is_first = !self.announced && self.mesh.count() > 1;
        self.announced |= is_first;
        is_first
    }

    fn note_hubs(&mut self, now: Timestamp) {
        if let Some(table) = &self.table {
            self.quota.note_hubs(now, &self.mesh, &table.config().accounts);
        }
    }

    /// Takes a part of an account's quota for another daemon; one that does not keep its bucket does not.
    pub(crate) fn charge(
        &mut self,
        now: Timestamp,
        charge: &gateway::Charge,
    ) -> gateway::ChargeReply {
        if !charge.cost.is_finite() || charge.cost < 0.0 {
            return gateway::ChargeReply::Unknown;
        }
        let table = self.table.clone();
        let Some(account) = table.as_ref().and_then(|table| table.account(&charge.account)) else {
            return gateway::ChargeReply::Unknown;
        };
        if !self.mesh.keeps(&charge.account) || !self.mesh.is_listed(now) {
            return gateway::ChargeReply::Unknown;
        }
        let part = self.mesh.quota_part(now, &charge.account);
        match self.quota.take(now, account, charge.cost, part) {
            Ok(()) => gateway::ChargeReply::Granted,
            Err(wait) => gateway::ChargeReply::Refused { wait_ms: (wait * 1_000.0) as u32 },
        }
    }

    /// Takes in what another daemon says.
    pub(crate) fn digest(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        digest: &gateway::Digest,
    ) {
        let Some(news) = self.mesh.note(now, from, digest) else { return };
        for spend in &news.spent {
            self.quota.note_others(now, spend);
        }
        if !digest.is_young {
            for spend in &news.levels {
                self.quota.adopt(now, &spend.account, spend.level);
            }
        }
        if news.is_over {
            self.forget(now, from);
        }
        if digest.starting {
            self.note_hubs(now);
        }
    }

    /// Takes in another daemon's work at a service.
    pub(crate) fn load(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        report: &gateway::LoadReport,
    ) {
        let service = self.service(&report.service);
        if service.pool.note_peer(now, from, report) {
            service.hand_out(now);
        }
    }

    /// Says whether this daemon can place the requests of others.
    fn placing(&self, now: Timestamp) -> gateway::Placing {
        if self.stopping || self.roster.is_empty() {
            return gateway::Placing::Unable;
        }
        gateway::Placing::after(now.since(self.started))
    }

    /// Returns the other daemon that places the requests of a service, or `None` if this one does.
    pub(crate) fn placer(&self, now: Timestamp, service: &id::PoolName) -> Option<net::SocketAddr> {
        let placers = self.mesh.placers(now, service, self.placing(now));
        placers.first().copied().filter(|placer| *placer != self.mesh.own())
    }

    /// Tells the daemon that places the requests of a service what has changed of this daemon's work there.
    pub(crate) fn report(&mut self, now: Timestamp, service: &id::PoolName) {
        self.tell_placers(now, service, false);
    }

    fn tell_placers(&mut self, now: Timestamp, service: &id::PoolName, all: bool) {
        let placers = self.mesh.placers(now, service, self.placing(now));
        let own = self.mesh.own();
        self.reports += 1;
        let number = (self.incarnation, self.reports);
        self.service(service).report(now, number, own, &placers, all);
    }

    /// Tells all that this daemon has anywhere, since a report may have been lost and others may
    /// place the requests now.
    pub(crate) fn report_all(&mut self, now: Timestamp) {
        let with_work = self.services.iter().filter(|(_, service)| service.pool.has_work(now));
        let names: Vec<_> = with_work.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.tell_placers(now, &name, true);
        }
    }

    /// Returns the messages that decisions have led to since the last call.
    pub(crate) fn take_mail(&mut self) -> Vec<state::Letter> {
        self.services.values_mut().flat_map(state::Service::take_mail).collect()
    }

    pub(crate) const fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Returns what the others are to be told.
    pub(crate) fn own_digest(&mut self, now: Timestamp, kind: DigestKind) -> gateway::Digest {
        self.digests += 1;
        gateway::Digest {
            incarnation: self.incarnation,
            number: self.digests,
            starting: kind.starting,
            strength: self.mesh.strength(),
            leaving: kind.last,
            is_young: now.since(self.started) < YOUNG,
            unanswered: self.mesh.is_unanswered(),
            hub_mark: self.mesh.told_hub_mark(now),
            clients: self.mesh.clients(now),
            quarantine: self.quarantine.mark(),
            rollouts: self.rollouts.mark(),
            spend: if kind.starting { Vec::new() } else { self.quota.used(kind.full) },
        }
    }

    /// Looks at what has become of what waits and of what others have reported as time passed.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        for service in self.services.values_mut() {
            service.expire(now);
        }
        if self.rollouts.mark() != 0 {
            self.set_gates(now);
        }
        self.hand_out_all(now);
    }

    /// Tells the pools which versions may run requests.
    pub(crate) fn set_gates(&mut self, now: Timestamp) {
        let is_fresh = self.freshness.is_within(now, TRIES);
        for (name, service) in &mut self.services {
            let gate = self.rollouts.gate(name, self.exposure, is_fresh);
            service.pool.set_gate(now, gate);
        }
    }

    /// Returns what is found of a roll-out of which this daemon places the requests, and what follows.
    pub(crate) fn judge(
        &self,
        now: Timestamp,
        service: &id::PoolName,
    ) -> Option<(gateway::Finding, gateway::Rollout)> {
        if self.placer(now, service).is_some() {
            return None;
        }
        let rollout = self.rollouts.get(now, service)?;
        let pool = &self.services.get(service)?.pool;
        let finding = pool.finding(now, &rollout.to);
        Some((finding, self.rollouts.next(now, service, finding)?))
    }

    /// Returns the pool of a service that is known.
    pub(crate) fn pool(&self, service: &id::PoolName) -> Option<&gateway::Pool> {
        self.services.get(service).map(|service| &service.pool)
    }

    fn forget(&mut self, now: Timestamp, peer: net::SocketAddr) {
        for service in self.services.values_mut() {
            service.forget(now, peer);
        }
    }

    fn hand_out_all(&mut self, now: Timestamp) {
        for service in self.services.values_mut() {
            service.hand_out(now);
        }
    }
}
