//! Orders to engines, with several order services and one simulated key-value service.

use std::{
    net, pin, sync,
    sync::atomic,
    task as tasks,
    time::{Duration, Instant},
};

use testbed::{engine, kv, operators, relay, switch};
use tokio::{sync::watch, task};
use trefoildyke_daemon::{operators as api, orders};
use trefoildyke_decide::{config, members, orders as decisions};
use trefoildyke_types::{id, resource};
use trefoildyke_wire::{http, platform};

const WAIT: Duration = Duration::from_secs(60);

fn settings() -> orders::Settings {
    orders::Settings {
        ttl_ms: 4_000,
        guard_ms: 500,
        settle_ms: 1_000,
        margin_ms: 1_000,
        retry_ms: 100,
        order_ms: 1_000,
    }
}

fn wrap(name: &str, generation: u64, spec: resource::Spec) -> resource::Resource {
    let name = name.to_owned();
    resource::Resource { name, spec, generation, resource_version: generation, status: None }
}

fn endpoint(address: net::SocketAddr, checks_fencing: bool) -> resource::Resource {
    let spec = resource::EndpointSpec {
        pool: "drafting".into(),
        host: "h1".into(),
        zone: "salem".into(),
        address,
        slots: 8,
        cache_tokens: 0,
        checks_fencing,
    };
    wrap("e1", 1, resource::Spec::Endpoint(spec))
}

fn order(generation: u64) -> resource::Resource {
    let action = resource::OrderAction::SetRole { role: format!("role-{generation}") };
    let spec = resource::EngineOrderSpec { endpoint: "e1".into(), action };
    wrap("role", generation, resource::Spec::EngineOrder(spec))
}

/// Returns the resources as an operator sends them, with the pool that they refer to.
fn with_pool(mut resources: Vec<resource::Resource>) -> Vec<resource::Resource> {
    let protocol = resource::PoolProtocol::Engine { model: "llama".into() };
    let spec = resource::EndpointPoolSpec { protocol, shards: 1 };
    resources.push(wrap("drafting", 0, resource::Spec::EndpointPool(spec)));
    for resource in &mut resources {
        (resource.generation, resource.resource_version) = (0, 0);
    }
    resources
}

fn key(generation: u64) -> decisions::OrderKey {
    decisions::OrderKey { name: "role".to_owned(), generation }
}

/// A future that makes no progress while it is paused, like a process between SIGSTOP and SIGCONT.
struct Pausable<F> {
    inner: pin::Pin<Box<F>>,
    pause: Pause,
}

#[derive(Clone, Default)]
struct Pause {
    paused: sync::Arc<atomic::AtomicBool>,
    waker: sync::Arc<sync::Mutex<Option<tasks::Waker>>>,
}

impl Pause {
    fn set(&self, paused: bool) {
        self.paused.store(paused, atomic::Ordering::SeqCst);
        if let Some(waker) = self.waker.lock().unwrap().take() {
            waker.wake();
        }
    }
}

impl<F: Future> Future for Pausable<F> {
    type Output = F::Output;

    fn poll(mut self: pin::Pin<&mut Self>, cx: &mut tasks::Context<'_>) -> tasks::Poll<F::Output> {
        *self.pause.waker.lock().unwrap() = Some(cx.waker().clone());
        if self.pause.paused.load(atomic::Ordering::SeqCst) {
            return tasks::Poll::Pending;
        }
        self.inner.as_mut().poll(cx)
    }
}

/// The order service of one daemon; in its view, it has the role of carrying out orders.
struct Daemon {
    handle: orders::Handle,
    config: watch::Sender<sync::Arc<config::Snapshot>>,
    _view: watch::Sender<sync::Arc<members::View>>,
    pause: Pause,
    tasks: task::JoinSet<()>,
}

impl Daemon {
    fn start(kv: net::SocketAddr, number: u64, settings: orders::Settings) -> Self {
        let incarnation = id::Incarnation::from_u64(number);
        let member = members::Member {
            host: "h1".into(),
            incarnation,
            zone: "salem".into(),
            peer: "127.0.0.1:1".parse().unwrap(),
            state: members::State::Alive,
        };
        let view = members::View { members: vec![member], ..Default::default() };
        let (views, view) = watch::channel(sync::Arc::new(view));
        let (config, configs) = watch::channel(sync::Arc::default());
        let client = platform::KvClient::new(platform::KvSettings::new(kv));
        let sources = orders::Sources { config: configs, view };
        let (handle, service) = orders::new(settings, client, incarnation, sources);
        let pause = Pause::default();
        let mut tasks = task::JoinSet::new();
        tasks.spawn(Pausable { inner: Box::pin(service.run()), pause: pause.clone() });
        Self { handle, config, _view: views, pause, tasks }
    }

    fn configure(&self, version: u64, resources: Vec<resource::Resource>) {
        self.config
            .send_replace(sync::Arc::new(config::Snapshot::from_resources(version, resources)));
    }

    async fn record(&self, generation: u64) -> orders::OrderRecord {
        wait_for(async || self.handle.record(&key(generation)).await.ok().flatten()).await
    }

    async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn wait_for<T>(read: impl AsyncFn() -> Option<T>) -> T {
    let until = Instant::now() + WAIT;
    loop {
        if let Some(found) = read().await {
            return found;
        }
        assert!(Instant::now() < until, "not within {WAIT:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn start_engine(checks_fencing: bool) -> engine::Running {
    engine::serve(engine::Settings { checks_fencing, ..Default::default() }).await.unwrap()
}

fn executed(engine: &engine::Running) -> Vec<String> {
    engine.ledger().orders.into_iter().map(|order| order.order).collect()
}

#[tokio::test]
async fn an_order_is_carried_out_once_and_recorded() {
    let kv = kv::serve(kv::Settings::default()).await.unwrap();
    let engine = start_engine(true).await;
    let daemon = Daemon::start(kv.address(), 1, settings());
    daemon.configure(1, vec![endpoint(engine.address(), true), order(1)]);
    assert_eq!(daemon.record(1).await.outcome, decisions::Outcome::Done);
    // Another daemon finds the record of the order, and carries out only the next order.
    daemon.stop().await;
    let next = Daemon::start(kv.address(), 2, settings());
    next.configure(2, vec![endpoint(engine.address(), true), order(2)]);
    let second = next.record(2).await;
    assert_eq!(executed(&engine), ["role/1", "role/2"]);
    assert!(engine.ledger().orders[0].fence < second.fence);
    // The record of the order that the configuration no longer contains is deleted.
    wait_for(async || next.handle.record(&key(1)).await.ok().filter(Option::is_none)).await;
    next.stop().await;
}

#[tokio::test]
async fn an_order_to_no_endpoint_fails() {
    let kv = kv::serve(kv::Settings::default()).await.unwrap();
    let daemon = Daemon::start(kv.address(), 1, settings());
    daemon.configure(1, vec![order(1)]);
    let outcome = daemon.record(1).await.outcome;
    assert!(matches!(outcome, decisions::Outcome::Failed(_)), "{outcome:?}");
    daemon.stop().await;
}

/// Daemon 1 acquires the lease, cannot reach the engine, and is paused. Daemon 2 takes over and carries
/// out orders 1 and 2. Then daemon 1 can reach the engine and resumes. Returns the orders that the
/// engine carried out; if `is_harmed`, they include a repeated third one.
async fn resume_a_former_holder(
    checks_fencing: bool,
    ends_by_clock: bool,
    is_harmed: bool,
) -> Vec<String> {
    let kv = kv::serve(kv::Settings::default()).await.unwrap();
    let client = platform::KvClient::new(platform::KvSettings::new(kv.address()));
    let engine = start_engine(checks_fencing).await;
    let relay = relay::serve(engine.address()).await.unwrap();
    relay.refuse_all();
    let mut former_settings = settings();
    if !ends_by_clock {
        former_settings.ttl_ms = 3_600_000;
    }
    let former = Daemon::start(kv.address(), 1, former_settings);
    former.configure(1, vec![endpoint(relay.address(), checks_fencing), order(1)]);
    wait_for(async || client.get("orders/holder").await.ok()?.entry).await;
    former.pause.set(true);
    let paused = Instant::now();
    if !ends_by_clock {
        // Deletes the lease key, as if the lease had expired.
        let delete = platform::message::Delete { key: "orders/holder".to_owned(), expect: None };
        client.delete(&delete).await.unwrap();
    }
    let new = Daemon::start(kv.address(), 2, settings());
    let resources =
        |generation| vec![endpoint(engine.address(), checks_fencing), order(generation)];
    new.configure(1, resources(1));
    new.record(1).await;
    new.configure(2, resources(2));
    new.record(2).await;
    tokio::time::sleep_until((paused + Duration::from_secs(5)).into()).await;
    relay.restore();
    former.pause.set(false);
    if is_harmed {
        wait_for(async || (executed(&engine).len() == 3).then_some(())).await;
    } else {
        // Long enough for many attempts: daemon 1 retries every 100 ms.
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    former.stop().await;
    new.stop().await;
    executed(&engine)
}

#[tokio::test]
async fn a_resumed_former_holder_sends_no_old_orders() {
    let [checking, not_checking] =
        [true, false].map(|checks| resume_a_former_holder(checks, true, false));
    let (checking, not_checking) = tokio::join!(checking, not_checking);
    assert_eq!(checking, ["role/1", "role/2"]);
    assert_eq!(not_checking, ["role/1", "role/2"]);
}

#[tokio::test]
async fn without_lease_expiry_a_former_holder_repeats_an_order_at_an_engine_that_does_not_check() {
    let [checking, not_checking] =
        [true, false].map(|checks| resume_a_former_holder(checks, false, !checks));
    let (checking, not_checking) = tokio::join!(checking, not_checking);
    // The fencing token protects only the engine that checks it.
    assert_eq!(checking, ["role/1", "role/2"]);
    assert_eq!(not_checking, ["role/1", "role/2", "role/1"]);
}

#[tokio::test]
async fn two_racing_services_carry_out_an_order_once() {
    let kv = kv::serve(kv::Settings::default()).await.unwrap();
    let engine = start_engine(false).await;
    let daemons = [1, 2].map(|number| Daemon::start(kv.address(), number, settings()));
    for daemon in &daemons {
        daemon.configure(1, vec![endpoint(engine.address(), false), order(1)]);
    }
    daemons[0].record(1).await;
    // Once the lease is free and stays free, both services have seen the record of the order.
    let client = platform::KvClient::new(platform::KvSettings::new(kv.address()));
    wait_for(async || client.get("orders/holder").await.ok()?.entry.is_none().then_some(())).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(executed(&engine), ["role/1"]);
    for daemon in daemons {
        daemon.stop().await;
    }
}

#[tokio::test]
async fn operators_see_how_orders_ended() {
    let server = operators::Server::new(Default::default()).await.unwrap();
    let engine = start_engine(true).await;
    let daemon = Daemon::start(server.kv.address(), 1, settings());
    let resources = vec![endpoint(engine.address(), true), order(1)];
    daemon.configure(1, resources.clone());
    daemon.record(1).await;
    let set = config::ChangeSet { puts: with_pool(resources), deletions: vec![] };
    let accepted = server.handle.write(&set).await.unwrap();
    let (in_force, live) = (accepted.version(), 1);
    server.progress.send_replace(api::Progress { in_force, settled: 0, live });
    let phase = async |path: &str| {
        let reply = server.call("GET", path, b"").await.unwrap();
        http::parse::<serde_json::Value>(&reply).unwrap()
    };
    let one = phase("/v1/resources/EngineOrder/role").await;
    assert_eq!(one["status"]["phase"], "Done");
    let all = phase("/v1/resources/EngineOrder").await;
    assert_eq!(all["resources"][0]["status"]["phase"], "Done");
    // Without the key-value service, the phase falls back to the last one known for certain.
    server.kv.set_mode(switch::Mode::new(switch::ModeKind::Down));
    let one = phase("/v1/resources/EngineOrder/role").await;
    assert_eq!(one["status"]["phase"], "InForce");
    assert!(one["status"]["message"].as_str().unwrap().contains("cannot be read"), "{one}");
    daemon.stop().await;
}

/// A proxy of the key-value service that loses the answer to the first write of a key.
async fn lose_first_put(target: net::SocketAddr) -> http::Server {
    let lost = sync::Arc::new(atomic::AtomicBool::new(false));
    let client = http::Client::default();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    http::Server::start(listener, http::ServerLimits::default(), move |call: http::Call| {
        let (lost, client) = (sync::Arc::clone(&lost), client.clone());
        async move {
            let (head, body) = call.request.into_parts();
            let body = http::read_body(body, 1 << 20, WAIT).await.map_err(|_| http::Aborted)?;
            let uri = format!("http://{target}{}", head.uri.path());
            let request = hyper::Request::post(uri).body(body).map_err(|_| http::Aborted)?;
            let reply = client.call(request, WAIT).await.map_err(|_| http::Aborted)?;
            let is_put = head.uri.path() == "/v1/put";
            if is_put && !lost.swap(true, atomic::Ordering::SeqCst) {
                return Err(http::Aborted);
            }
            Ok(reply.map(http::Body::whole))
        }
    })
    .unwrap()
}

#[tokio::test]
async fn a_lease_whose_answer_was_lost_is_recognised_by_its_nonce() {
    let kv = kv::serve(kv::Settings::default()).await.unwrap();
    let proxy = lose_first_put(kv.address()).await;
    let engine = start_engine(true).await;
    // The lease lasts longer than the test waits, so the service must use the lease that it already has.
    let long_ttl = orders::Settings { ttl_ms: 600_000, ..settings() };
    let daemon = Daemon::start(proxy.address(), 1, long_ttl);
    daemon.configure(1, vec![endpoint(engine.address(), true), order(1)]);
    assert_eq!(daemon.record(1).await.outcome, decisions::Outcome::Done);
    assert_eq!(executed(&engine), ["role/1"]);
    daemon.stop().await;
}

#[tokio::test]
async fn no_order_is_sent_while_the_key_value_service_is_down() {
    let kv = kv::serve(kv::Settings::default()).await.unwrap();
    kv.set_mode(switch::Mode::new(switch::ModeKind::Down));
    let engine = start_engine(true).await;
    let daemon = Daemon::start(kv.address(), 1, settings());
    daemon.configure(1, vec![endpoint(engine.address(), true), order(1)]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(executed(&engine).is_empty());
    kv.set_mode(switch::Mode::new(switch::ModeKind::Ok));
    daemon.record(1).await;
    assert_eq!(executed(&engine), ["role/1"]);
    daemon.stop().await;
}

#[test]
fn inconsistent_times_are_rejected() {
    assert_eq!(orders::Settings::default().check(), Ok(()));
    let short_ttl = orders::Settings { ttl_ms: 1_000, ..Default::default() };
    let error = short_ttl.check().unwrap_err();
    assert_eq!(error.context.field.as_deref(), Some("orders.ttl_ms"));
    let short_settle = orders::Settings { settle_ms: 100, ..Default::default() };
    assert!(short_settle.check().is_err());
}
