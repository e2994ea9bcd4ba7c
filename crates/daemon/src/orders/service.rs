//! The task that runs the order controller.

use std::{collections, sync, time};

use futures::{StreamExt as _, future::BoxFuture, stream};
use trefoildyke_decide::{config, members, orders as decisions};
use trefoildyke_types::{id, resource};
use trefoildyke_wire::platform::{self, message};
use xxhash_rust::xxh3;

use crate::orders::{self, lease, send};

const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The name of the role; rendezvous hashing assigns the role to one daemon.
const ROLE: &str = "orders";

/// Carries out orders while this daemon holds the lease; run it on the control thread.
#[must_use = "no order is carried out until the service runs"]
pub struct Service {
    settings: orders::Settings,
    kv: platform::KvClient,
    incarnation: id::Incarnation,
    sources: orders::Sources,
    clock: orders::LeaseClock,
    controller: decisions::Controller,
    lease: Option<message::LeaseNumber>,
    /// The calls in progress; dropping the service cancels them.
    calls: stream::FuturesUnordered<BoxFuture<'static, Event>>,
}

/// The result of a call.
enum Event {
    Acquired(Option<lease::AcquiredLease>),
    Input(decisions::Input),
}

impl Service {
    pub(super) fn new(
        settings: orders::Settings,
        kv: platform::KvClient,
        incarnation: id::Incarnation,
        sources: orders::Sources,
    ) -> Self {
        Self {
            settings,
            kv,
            incarnation,
            sources,
            clock: orders::LeaseClock::start(),
            controller: decisions::Controller::new(settings.params()),
            lease: None,
            calls: stream::FuturesUnordered::new(),
        }
    }

    /// Runs until the configuration service has ended; dropping the future cancels it.
    ///
    /// An engine may still carry out an order that was written before the future is dropped; the next
    /// holder of the lease waits for that.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.read_view();
        self.read_config();
        loop {
            let is_busy = self.controller.is_busy();
            tokio::select! {
                changed = self.sources.config.changed() => match changed {
                    Ok(()) => self.read_config(),
                    Err(_) => return,
                },
                Ok(()) = self.sources.view.changed() => self.read_view(),
                Some(event) = self.calls.next() => self.handle_event(event),
                _ = ticks.tick(), if is_busy => self.step(decisions::Input::Tick),
            }
        }
    }

    fn read_config(&mut self) {
        let snapshot = sync::Arc::clone(&self.sources.config.borrow_and_update());
        let (version, wanted) = (snapshot.version(), orders_of(&snapshot));
        self.step(decisions::Input::Orders { version, wanted });
    }

    fn read_view(&mut self) {
        let has_role = has_role(&self.sources.view.borrow_and_update(), self.incarnation);
        self.step(decisions::Input::Eligible(has_role));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Input(input) => self.step(input),
            Event::Acquired(None) => self.step(decisions::Input::NotAcquired),
            Event::Acquired(Some(acquired)) => {
                log::info!("acquired the orders lease with fencing token {}", acquired.token);
                self.lease = Some(acquired.lease);
                self.delete_obsolete(&acquired);
                let lease::AcquiredLease { token, call_start, version, ended, .. } = acquired;
                let ended = ended.into_keys().collect();
                self.step(decisions::Input::Acquired { token, call_start, version, ended });
            }
        }
    }

    fn step(&mut self, input: decisions::Input) {
        for action in self.controller.step(self.clock.now(), input) {
            self.handle_action(action);
        }
    }

    fn handle_action(&mut self, action: decisions::Action) {
        let (kv, clock) = (self.kv.clone(), self.clock.clone());
        match action {
            decisions::Action::Acquire { version } => {
                let (incarnation, ttl) = (self.incarnation, self.settings.params().ttl);
                self.calls.push(Box::pin(async move {
                    Event::Acquired(lease::acquire(&kv, &clock, incarnation, version, ttl).await)
                }));
            }
            decisions::Action::Confirm { version } => self.push(async move {
                match lease::confirm(&kv, version).await {
                    lease::Confirmation::Confirmed => decisions::Input::Confirmed(version),
                    // A daemon with an older version must not carry out orders, so it gives up the lease.
                    lease::Confirmation::Superseded => decisions::Input::LeaseGone,
                    lease::Confirmation::Failed => decisions::Input::NotConfirmed,
                }
            }),
            decisions::Action::Renew => {
                let Some(lease) = self.lease else { return };
                self.push(async move { lease::renew(&kv, &clock, lease).await });
            }
            decisions::Action::Release => {
                let Some(lease) = self.lease.take() else { return };
                self.push(async move {
                    // If this fails, the lease expires.
                    let _ = kv.revoke(lease).await;
                    decisions::Input::Tick
                });
            }
            decisions::Action::Send { order, fence, send_deadline } => {
                log::info!("sending order {} to {}", order.key, order.endpoint);
                let address = self.address(&order.endpoint);
                let wait = self.settings.order_time();
                self.push(send::send(clock, address, order, fence, send_deadline, wait));
            }
            decisions::Action::Store { key, outcome, fence } => {
                log::info!("order {key} ended: {outcome:?}");
                let version = self.version(&key);
                let record = orders::OrderRecord { key, version, outcome, fence };
                self.push(async move { lease::store_record(&kv, &record).await });
            }
        }
    }

    fn push(&self, call: impl Future<Output = decisions::Input> + Send + 'static) {
        self.calls.push(Box::pin(async move { Event::Input(call.await) }));
    }

    /// Deletes the records of ended orders that the configuration no longer contains.
    fn delete_obsolete(&self, acquired: &lease::AcquiredLease) {
        let snapshot = self.sources.config.borrow();
        // With a version other than the confirmed one, this could delete records that are still needed.
        if snapshot.version() != acquired.version {
            return;
        }
        let wanted: collections::BTreeSet<_> =
            orders_of(&snapshot).into_iter().map(|order| order.key).collect();
        for (key, (record, revision)) in &acquired.ended {
            if record.version <= acquired.version && !wanted.contains(key) {
                let (kv, key, revision) = (self.kv.clone(), key.clone(), *revision);
                self.push(async move {
                    lease::delete_record(&kv, &key, revision).await;
                    decisions::Input::Tick
                });
            }
        }
    }

    fn address(&self, endpoint: &id::EndpointName) -> Option<std::net::SocketAddr> {
        self.sources.config.borrow().endpoint(endpoint).map(|spec| spec.address)
    }

    fn version(&self, key: &decisions::OrderKey) -> u64 {
        let snapshot = self.sources.config.borrow();
        let found = snapshot.resource(resource::Kind::EngineOrder, &key.name);
        found.map_or(snapshot.version(), |found| found.resource_version)
    }
}

fn has_role(view: &members::View, incarnation: id::Incarnation) -> bool {
    let owner = view.owner(xxh3::xxh3_64(ROLE.as_bytes()));
    owner.is_some_and(|owner| owner.incarnation == incarnation)
}

fn orders_of(snapshot: &config::Snapshot) -> Vec<decisions::Order> {
    let read = |found: &resource::Resource| {
        let resource::Spec::EngineOrder(spec) = &found.spec else { return None };
        let endpoint = snapshot.endpoint(&spec.endpoint);
        Some(decisions::Order {
            key: decisions::OrderKey { name: found.name.clone(), generation: found.generation },
            version: found.resource_version,
            endpoint: spec.endpoint.clone(),
            checks_fencing: endpoint.is_some_and(|endpoint| endpoint.checks_fencing),
            action: spec.action.clone(),
        })
    };
    let found = snapshot.of_kind(resource::Kind::EngineOrder);
    found.filter_map(|resource| read(resource)).collect()
}
