//! The state on which the decisions of one daemon are based.

use std::{collections, net, sync};

use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::{settings, state};

/// The time without a digest after which a hub counts as unreachable: two digests lost at the idle
/// interval. Until then, the keepers of a quota also grant the share of a keeper that is cut off.
const PEER_SILENCE: std::time::Duration = std::time::Duration::from_millis(650);

/// The state of one daemon. Its methods take the time as an argument and do no I/O.
pub(crate) struct Core {
    pool_params: gateway::PoolParams,
    uses_accounts: bool,
    retry: (std::time::Duration, f64, f64),
    pub(crate) table: Option<sync::Arc<gateway::Table>>,
    /// The previous versions, newest first, with the times at which they were replaced.
    previous: collections::VecDeque<(Timestamp, sync::Arc<gateway::Table>)>,
    pub(crate) freshness: gateway::Freshness,
    pub(crate) version_lag: gateway::VersionLag,
    pub(crate) quota: gateway::Quota,
    pub(crate) mesh: gateway::Mesh,
    pub(crate) roster: gateway::Roster,
    services: collections::HashMap<id::PoolName, state::Service>,
    /// The service of each endpoint.
    endpoint_services: collections::HashMap<id::EndpointName, id::PoolName>,
    /// Whether this daemon reaches the endpoints.
    pub(crate) links: gateway::Links,
    pub(crate) deadlines: gateway::Deadlines,
    pub(crate) quarantine: gateway::Quarantine,
    pub(crate) part_quarantine: gateway::PartQuarantine,
    pub(crate) rollouts: gateway::Rollouts,
    /// The versions that began streams.
    pub(crate) begun_streams: gateway::BegunStreams,
    /// Queries of single entries of endpoints.
    pub(crate) entry_checks: gateway::EntryChecks,
    /// The daemons that have yet to be told of streams.
    handover: gateway::Handover,
    /// The versions that may have begun streams.
    pub(crate) recent_versions: gateway::RecentVersions,
    /// The share of a service's requests that a bad version may get.
    canary_share: f64,
    started: Timestamp,
    /// When this daemon wrote its membership entry again after it had lapsed.
    pub(crate) rejoined: Option<Timestamp>,
    incarnation: u64,
    digest_count: u64,
    report_count: u64,
    /// Whether this daemon has announced itself to the others.
    announced: bool,
    /// Whether a graceful stop has begun.
    stopping: bool,
    /// Whether this daemon watches the configuration in the store.
    pub(crate) watches_config: bool,
}

/// The kind of a digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DigestKind {
    /// Whether it is this daemon's first digest to all daemons.
    pub(crate) starting: bool,
    /// Whether it covers all accounts, not only those that were used since the last digest.
    pub(crate) full: bool,
    /// Whether it is this daemon's last digest.
    pub(crate) last: bool,
}

/// How long after its start other daemons do not adopt this daemon's levels of the quotas.
const QUOTA_WARMUP: std::time::Duration = std::time::Duration::from_secs(5);

/// How long after the last confirmation by the store a canary version still gets requests. After that, other
/// daemons may have found it bad without this one knowing; a daemon that receives messages of the others
/// learns of that within half a second.
const TRIAL_FRESHNESS: std::time::Duration = std::time::Duration::from_millis(2_500);

/// How long members that are missing from the list are kept after this daemon has written its lapsed entry
/// again: the time of two renewals, and of a pause after a failed call.
const REJOIN_GRACE: std::time::Duration = std::time::Duration::from_secs(4);

/// How long and how many previous versions of the configuration are kept, so that daemons which have one of
/// them can be sent what has changed since. A daemon queries a reader every 450 ms.
const PREVIOUS_RETENTION: std::time::Duration = std::time::Duration::from_secs(5);
const MAX_PREVIOUS: usize = 4;

impl Core {
    pub(crate) fn new(settings: &settings::Settings, incarnation: u64) -> Self {
        Self {
            pool_params: settings.pool.clone(),
            uses_accounts: settings.uses_accounts,
            retry: (settings.retry_window, settings.retry_ratio, settings.retry_allowance),
            table: None,
            previous: collections::VecDeque::new(),
            freshness: gateway::Freshness::new(settings.max_key_age),
            version_lag: gateway::VersionLag::new(settings.max_version_lag),
            quota: gateway::Quota::new(settings.quota),
            mesh: gateway::Mesh::new(settings.listen.peers, PEER_SILENCE)
                .with_strength(settings.strength),
            roster: gateway::Roster::new(settings.list_grace),
            services: collections::HashMap::new(),
            endpoint_services: collections::HashMap::new(),
            links: gateway::Links::default(),
            deadlines: gateway::Deadlines::default(),
            quarantine: gateway::Quarantine::new(settings.quarantine),
            part_quarantine: gateway::PartQuarantine::new(settings.part_quarantine),
            rollouts: gateway::Rollouts::default(),
            begun_streams: gateway::BegunStreams::default(),
            entry_checks: gateway::EntryChecks::default(),
            handover: gateway::Handover::default(),
            recent_versions: gateway::RecentVersions::new(
                settings.stream_retention,
                settings.max_list_age,
            ),
            canary_share: settings.canary_share,
            started: Timestamp::ZERO,
            rejoined: None,
            incarnation,
            digest_count: 0,
            report_count: 0,
            announced: false,
            stopping: false,
            watches_config: false,
        }
    }

    pub(crate) const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Puts a version of the configuration in force; returns whether it is newer than the previous one.
    pub(crate) fn configure(&mut self, now: Timestamp, config: gateway::Config) -> bool {
        let before = self.table.as_ref().map(|table| table.config().version);
        if before.is_some_and(|before| before >= config.version) {
            return false;
        }
        self.version_lag.note_applied(config.version);
        self.quota.open(now, &config.accounts);
        for service in &config.services {
            self.service(&service.name).pool.set_event_tokens(service.event_tokens);
        }
        let table = gateway::Table::new(config);
        let table = if self.uses_accounts { table } else { table.with_unused_keys() };
        let replaced = self.table.replace(sync::Arc::new(table));
        if let Some(replaced) = replaced {
            self.previous.push_front((now, replaced));
            self.previous.truncate(MAX_PREVIOUS);
        }
        true
    }

    /// Returns the current or a previous version of the configuration, if it is still known.
    pub(crate) fn table_of_version(&self, version: u64) -> Option<sync::Arc<gateway::Table>> {
        let previous = self.previous.iter().map(|(_, table)| table);
        let mut known = self.table.iter().chain(previous);
        known.find(|table| table.config().version == version).cloned()
    }

    /// Returns a service, which is created at its first mention.
    pub(crate) fn service(&mut self, name: &id::PoolName) -> &mut state::Service {
        let new = || {
            let pool = gateway::Pool::new(self.pool_params.clone(), 0);
            let (window, ratio, fixed) = self.retry;
            let budget = gateway::RetryBudget::new(self.started, window, ratio, fixed);
            state::Service::new(name.clone(), pool, budget)
        };
        self.services.entry(name.clone()).or_insert_with(new)
    }

    /// Returns what this daemon knows of the store, for another member whose list of endpoints has the hash
    /// `roster`; `None` if it knows nothing.
    pub(crate) fn store_reply(
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
            roster: self.roster.hash(),
            read: since(self.roster.read())?,
            queried: since(self.roster.queried()),
            steady: since(self.roster.available_since()).unwrap_or(0),
        };
        let changes = self.roster.changes_since(roster);
        let answered = !self.mesh.is_unanswered();
        let watches = self.watches_config;
        Some(gateway::Message::Reply { stamp, view, answered, watches, changes })
    }

    /// Records that the list of endpoints is the answer to a query that was sent at `queried_at`.
    pub(crate) fn record_list_query(&mut self, queried_at: Timestamp) {
        self.roster.record_query(queried_at);
        self.recent_versions.note_query(queried_at);
        self.check_begun_streams();
    }

    /// Returns the version under which the endpoint of `source` is listed, `None` if it is not listed; or
    /// nothing as long as neither the list nor a query of its entry is certain to show the start that accepted
    /// the connection.
    pub(crate) fn listed_version(
        &self,
        source: &gateway::StreamSource,
    ) -> Option<Option<id::VersionName>> {
        let registered_by = source.registered_by();
        if self.roster.queried() >= Some(registered_by) {
            let entry = self.roster.entry(&source.endpoint);
            return Some(entry.map(|entry| entry.version.clone()));
        }
        let (queried_at, version) = self.entry_checks.answer(&source.endpoint)?;
        (*queried_at >= registered_by).then(|| version.clone())
    }

    /// Checks the streams whose version is assumed.
    pub(crate) fn check_begun_streams(&mut self) {
        let mut begun = std::mem::take(&mut self.begun_streams);
        begun.check(|source| self.listed_version(source));
        self.begun_streams = begun;
    }

    /// Applies the changes of the list of endpoints.
    pub(crate) fn apply_roster_changes(
        &mut self,
        now: Timestamp,
        changes: &[gateway::RosterChange],
    ) {
        if !changes.is_empty() {
            self.rollouts.note_listed(&self.roster.entries().collect::<Vec<_>>());
            self.recent_versions.note_listed(now, self.roster.entries());
        }
        for change in changes {
            match change {
                gateway::RosterChange::Listed(entry) => {
                    self.endpoint_services.insert(entry.endpoint.clone(), entry.service.clone());
                    self.service(&entry.service).pool.upsert_endpoint(now, entry);
                }
                gateway::RosterChange::Gone(endpoint) => {
                    if let Some(service) = self.endpoint_services.remove(endpoint) {
                        self.service(&service).pool.remove(endpoint);
                    }
                }
            }
        }
        if !changes.is_empty() {
            self.set_gates(now);
            self.dispatch_all(now);
        }
    }

    /// Applies the list of members; returns whether this daemon has to announce itself to the others for
    /// the first time.
    pub(crate) fn set_members(&mut self, now: Timestamp, list: &[gateway::Peer]) -> bool {
        let is_new = |address: &net::SocketAddr| {
            *address != self.mesh.own() && !self.mesh.is_member(*address)
        };
        let new: Vec<_> = list.iter().map(|peer| peer.address).filter(is_new).collect();
        // If this daemon's entry had lapsed, those of other members may have lapsed too and are being
        // written again.
        if self.rejoined.is_none_or(|rejoined| now.since(rejoined) >= REJOIN_GRACE) {
            let gone = self.mesh.replace(now, list);
            self.handover.note_departed(now, &self.begun_streams, &self.mesh, &gone);
            for peer in gone {
                self.forget_peer(now, peer);
            }
        } else {
            self.mesh.extend(now, list);
        }
        for address in new {
            self.handover.note_joined(now, &self.begun_streams, address);
        }
        self.update_keepers(now);
        let is_first = !self.announced && self.mesh.count() > 1;
        self.announced |= is_first;
        is_first
    }

    fn update_keepers(&mut self, now: Timestamp) {
        if let Some(table) = &self.table {
            self.quota.update_keepers(now, &self.mesh, &table.config().accounts);
        }
    }

    /// Charges an account's quota for another daemon; replies `Unknown` if this daemon does not keep the
    /// account's bucket.
    pub(crate) fn handle_charge(
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

    /// Handles a digest of another daemon.
    pub(crate) fn handle_digest(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        digest: &gateway::Digest,
    ) {
        let Some(update) = self.mesh.note(now, from, digest) else { return };
        for spend in &update.spent {
            self.quota.apply_remote_usage(now, spend);
        }
        if !digest.is_young {
            for spend in &update.levels {
                self.quota.adopt(now, &spend.account, spend.level);
            }
        }
        if update.discard_load {
            self.forget_peer(now, from);
        }
        if digest.starting {
            self.update_keepers(now);
            self.handover.note_joined(now, &self.begun_streams, from);
        }
        if digest.leaving {
            self.handover.note_departed(now, &self.begun_streams, &self.mesh, &[from]);
        }
    }

    /// Returns the next daemon that is to be told of streams, and the streams.
    pub(crate) fn next_handover(
        &mut self,
        now: Timestamp,
    ) -> Option<(net::SocketAddr, Vec<gateway::BegunStream>)> {
        self.handover.next(now, &self.begun_streams, &self.mesh)
    }

    /// Handles another daemon's report of its load at a service.
    pub(crate) fn handle_load(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        report: &gateway::LoadReport,
    ) {
        let service = self.service(&report.service);
        if service.pool.apply_report(now, from, report) {
            service.dispatch(now);
        }
    }

    /// Returns whether this daemon can place the requests of others.
    fn placing(&self, now: Timestamp) -> gateway::PlacingAbility {
        if self.stopping || self.roster.is_empty() {
            return gateway::PlacingAbility::Unable;
        }
        gateway::PlacingAbility::after(now.since(self.started))
    }

    /// Returns the other daemon that places the requests of a service; `None` if this one does.
    pub(crate) fn placer(&self, now: Timestamp, service: &id::PoolName) -> Option<net::SocketAddr> {
        let placers = self.mesh.placers(now, service, self.placing(now));
        placers.first().copied().filter(|placer| *placer != self.mesh.own())
    }

    /// Reports the changes of this daemon's load at a service to the daemon that places the service's
    /// requests.
    pub(crate) fn report(&mut self, now: Timestamp, service: &id::PoolName) {
        self.report_to_placers(now, service, false);
    }

    fn report_to_placers(&mut self, now: Timestamp, service: &id::PoolName, all: bool) {
        let placers = self.mesh.placers(now, service, self.placing(now));
        let own = self.mesh.own();
        self.report_count += 1;
        let number = (self.incarnation, self.report_count);
        self.service(service).report(now, number, own, &placers, all);
    }

    /// Sends full load reports for all services, because a report may have been lost and other daemons may
    /// place the requests now.
    pub(crate) fn report_all(&mut self, now: Timestamp) {
        let with_work = self.services.iter().filter(|(_, service)| service.pool.has_work(now));
        let names: Vec<_> = with_work.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.report_to_placers(now, &name, true);
        }
    }

    /// Returns the messages that decisions have produced since the last call.
    pub(crate) fn take_outbox(&mut self) -> Vec<state::OutgoingMessage> {
        self.services.values_mut().flat_map(state::Service::take_outbox).collect()
    }

    /// Begins a graceful stop. The streams that this daemon keeps for others get new keepers.
    pub(crate) fn begin_stop(&mut self, now: Timestamp) {
        self.stopping = true;
        self.handover.note_stop(now, &self.begun_streams, &self.mesh);
    }

    /// Returns a hash of the shared crashes and of what is quarantined, the same for daemons that know the
    /// same.
    pub(crate) const fn crash_hash(&self) -> u64 {
        self.quarantine.hash() ^ self.part_quarantine.hash()
    }

    /// Returns this daemon's digest for the others.
    pub(crate) fn own_digest(&mut self, now: Timestamp, kind: DigestKind) -> gateway::Digest {
        self.digest_count += 1;
        gateway::Digest {
            incarnation: self.incarnation,
            number: self.digest_count,
            starting: kind.starting,
            strength: self.mesh.strength(),
            leaving: kind.last,
            is_young: now.since(self.started) < QUOTA_WARMUP,
            unanswered: self.mesh.is_unanswered(),
            hub_mark: self.mesh.reported_hub_hash(now),
            clients: self.mesh.clients(now),
            quarantine: self.crash_hash(),
            rollouts: self.rollouts.hash(),
            spend: if kind.starting { Vec::new() } else { self.quota.used(kind.full) },
        }
    }

    /// Expires the queued requests and the reports of other daemons, and grants free slots.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        self.previous.retain(|(replaced_at, _)| now.since(*replaced_at) < PREVIOUS_RETENTION);
        for service in self.services.values_mut() {
            service.expire(now);
        }
        if self.rollouts.hash() != 0 {
            self.set_gates(now);
        }
        self.dispatch_all(now);
    }

    /// Returns the probes of idle endpoints since the last call, with their services.
    pub(crate) fn take_probes(&mut self) -> Vec<(id::PoolName, gateway::Probe)> {
        let probes = |(name, service): (&id::PoolName, &mut state::Service)| {
            let probes = service.pool.take_probes();
            probes.into_iter().map(|probe| (name.clone(), probe)).collect::<Vec<_>>()
        };
        self.services.iter_mut().flat_map(probes).collect()
    }

    /// Returns for each service how many idle endpoints are passed over.
    pub(crate) fn passed_over(&self, now: Timestamp) -> Vec<(id::PoolName, usize)> {
        let count = |(name, service): (&id::PoolName, &state::Service)| {
            (name.clone(), service.pool.passed_over(now))
        };
        self.services.iter().map(count).collect()
    }

    /// Tells the pools which versions may run requests.
    pub(crate) fn set_gates(&mut self, now: Timestamp) {
        let is_fresh = self.freshness.is_within(now, TRIAL_FRESHNESS);
        for (name, service) in &mut self.services {
            let gate = self.rollouts.gate(name, self.canary_share, is_fresh);
            service.pool.set_gate(now, gate);
        }
    }

    /// Returns the finding on a rollout and the stage that follows, if this daemon places the service's
    /// requests.
    pub(crate) fn evaluate_rollout(
        &self,
        now: Timestamp,
        service: &id::PoolName,
    ) -> Option<(gateway::Finding, gateway::Rollout)> {
        if self.placer(now, service).is_some() {
            return None;
        }
        let rollout = self.rollouts.get(now, service)?;
        let pool = &self.services.get(service)?.pool;
        let finding = pool.rollout_status(now, &rollout.to);
        Some((finding, self.rollouts.next(now, service, finding)?))
    }

    /// Returns whether an endpoint takes requests from this host, as far as this daemon knows.
    pub(crate) fn accepts(&self, now: Timestamp, endpoint: &id::EndpointName) -> bool {
        let accepts = |service: &state::Service| service.pool.accepts_at(now, endpoint);
        self.services.values().all(accepts)
    }

    /// Returns the pool of a service, if the service is known.
    pub(crate) fn pool(&self, service: &id::PoolName) -> Option<&gateway::Pool> {
        self.services.get(service).map(|service| &service.pool)
    }

    fn forget_peer(&mut self, now: Timestamp, peer: net::SocketAddr) {
        for service in self.services.values_mut() {
            service.forget_peer(now, peer);
        }
    }

    fn dispatch_all(&mut self, now: Timestamp) {
        for service in self.services.values_mut() {
            service.dispatch(now);
        }
    }
}
