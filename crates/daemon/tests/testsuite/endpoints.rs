//! The watch over a shard's endpoints, against stand-ins.

use std::{net, sync, time::Duration};

use testbed::{engine, hosts as platform, relay};
use tokio::sync::{mpsc, watch};
use tokio::task;
use trefoildyke_daemon::{endpoints, hosts};
use trefoildyke_decide::{config, schedule};
use trefoildyke_types::resource;
use trefoildyke_wire::{
    endpoint,
    platform::{HostsClient, message},
};

const WAIT: Duration = Duration::from_secs(30);
const POOL: &str = "drafting";

fn wrap(name: &str, spec: resource::Spec) -> resource::Resource {
    resource::Resource {
        name: name.to_owned(),
        spec,
        generation: 1,
        resource_version: 1,
        status: None,
    }
}

fn pool() -> resource::Resource {
    let protocol = resource::PoolProtocol::Engine { model: "llama".into() };
    wrap(POOL, resource::Spec::EndpointPool(resource::EndpointPoolSpec { protocol, shards: 1 }))
}

fn endpoint(name: &str, address: net::SocketAddr) -> resource::Resource {
    let spec = resource::EndpointSpec {
        pool: POOL.into(),
        host: format!("host-of-{name}").as_str().into(),
        zone: "salem".into(),
        address,
        slots: 8,
        cache_tokens: 65_536,
        checks_fencing: true,
    };
    wrap(name, resource::Spec::Endpoint(spec))
}

fn host(name: &str, state: message::HostState) -> message::Host {
    message::Host {
        host: format!("host-of-{name}").as_str().into(),
        zone: "salem".into(),
        state,
        role: message::HostRole::Endpoint,
        peer: None,
    }
}

/// A watch over one shard with everything that it learns from.
struct Bench {
    platform: platform::Running,
    config: watch::Sender<sync::Arc<config::Snapshot>>,
    handle: endpoints::Handle,
    feed: mpsc::Receiver<schedule::Input>,
    tasks: task::JoinSet<()>,
}

impl Bench {
    /// Starts a watch over the endpoints, whose hosts are all live.
    async fn start(resources: Vec<resource::Resource>) -> Self {
        let names = resources.iter().map(|resource| resource.name.clone());
        let live = names.map(|name| host(&name, message::HostState::Live)).collect();
        let settings =
            platform::Settings { lag: Duration::ZERO, hosts: live, ..Default::default() };
        let platform = platform::serve(settings).await.unwrap();
        let client = HostsClient::new(platform.address(), Duration::from_secs(1));
        let (hosts, poller) = hosts::new(hosts::Settings { interval_ms: 50 }, client);
        let snapshot = sync::Arc::new(config::Snapshot::of(1, resources));
        let (config, configs) = watch::channel(snapshot);
        let (sender, feed) = mpsc::channel(64);
        let settings = endpoints::Settings {
            load_interval_ms: 100,
            cache_interval_ms: 100,
            unreachable_after_ms: 1_500,
            answer_ms: 500,
        };
        let shard = endpoints::Shard { pool: POOL.into(), number: 0 };
        let origin = tokio::time::Instant::now();
        let (handle, watcher) = endpoints::new(settings, shard, configs, &hosts, origin, sender);
        let mut tasks = task::JoinSet::new();
        tasks.spawn(poller.run());
        tasks.spawn(watcher.run());
        Self { platform, config, handle, feed, tasks }
    }

    /// Waits for an input that suits.
    async fn wait_for(&mut self, suits: impl Fn(&schedule::Input) -> bool) -> schedule::Input {
        let next = async {
            loop {
                let input = self.feed.recv().await.unwrap();
                if suits(&input) {
                    return input;
                }
            }
        };
        tokio::time::timeout(WAIT, next).await.unwrap()
    }

    async fn wait_up(&mut self, name: &str) {
        let suits = |input: &schedule::Input| matches!(input, schedule::Input::EndpointUp(info) if info.endpoint.as_str() == name);
        self.wait_for(suits).await;
    }

    async fn wait_leaving(&mut self, name: &str) {
        let suits = |input: &schedule::Input| matches!(input, schedule::Input::EndpointLeaving(found) if found.as_str() == name);
        self.wait_for(suits).await;
    }

    async fn stop(mut self) {
        self.tasks.shutdown().await;
        self.platform.stop().await;
    }
}

#[tokio::test]
async fn load_and_cache_events_reach_the_scheduler() {
    let mut settings = engine::Settings::default();
    settings.params.report_lag = Duration::ZERO;
    settings.params.event_lag = Duration::ZERO;
    settings.params.event_loss = 0;
    let running = engine::serve(settings).await.unwrap();
    let mut bench = Bench::start(vec![pool(), endpoint("e1", running.address())]).await;
    bench.wait_up("e1").await;
    let client = endpoint::EngineClient::new(running.address(), endpoint::Limits::default());
    let generate = endpoint::message::Generate {
        id: "0192d3a4-0000-7000-8000-000000000001".parse().unwrap(),
        account: "cascadia".into(),
        prompt_tokens: 40,
        prefix: vec![7, 8],
        max_tokens: 2_000,
        input: String::new(),
    };
    let _stream = client.start(&generate).await.unwrap();
    // The two come in either order.
    let (mut blocks, mut was_running) = (Vec::new(), false);
    while blocks.is_empty() || !was_running {
        match bench.wait_for(|_| true).await {
            schedule::Input::Load { report, .. } => was_running |= report.running == 1,
            schedule::Input::Cache { events, .. } => {
                blocks = events.iter().map(|event| event.block).collect();
            }
            _ => {}
        }
    }
    assert_eq!(blocks, [7, 8]);
    bench.stop().await;
    running.stop().await;
}

#[tokio::test]
async fn a_probe_brings_a_report_at_once() {
    let running = engine::serve(engine::Settings::default()).await.unwrap();
    let mut bench = Bench::start(vec![pool(), endpoint("e1", running.address())]).await;
    bench.wait_up("e1").await;
    bench.handle.probe(&"e1".into());
    bench.wait_for(|input| matches!(input, schedule::Input::Load { .. })).await;
    bench.stop().await;
    running.stop().await;
}

#[tokio::test]
async fn a_leaving_host_is_told_within_the_bound() {
    let engines = [
        engine::serve(engine::Settings::default()).await.unwrap(),
        engine::serve(engine::Settings::default()).await.unwrap(),
    ];
    let [first, second] = &engines;
    let resources = vec![pool(), endpoint("e1", first.address()), endpoint("e2", second.address())];
    let mut bench = Bench::start(resources).await;
    bench.wait_up("e1").await;
    bench.wait_up("e2").await;
    let since = tokio::time::Instant::now();
    bench.platform.set_hosts(vec![
        host("e1", message::HostState::Leaving),
        host("e2", message::HostState::Live),
    ]);
    bench.wait_leaving("e1").await;
    assert!(since.elapsed() < Duration::from_secs(5), "{:?}", since.elapsed());
    bench.platform.set_hosts(vec![host("e1", message::HostState::Leaving)]);
    bench.wait_leaving("e2").await;
    bench.stop().await;
}

#[tokio::test]
async fn a_silent_endpoint_gets_nothing_until_it_answers_again() {
    let running = engine::serve(engine::Settings::default()).await.unwrap();
    let relay = relay::serve(running.address()).await.unwrap();
    let mut bench = Bench::start(vec![pool(), endpoint("e1", relay.address())]).await;
    bench.wait_up("e1").await;
    // Only open connections go silent: new ones bring the endpoint's answers, so it stays.
    bench.wait_for(|input| matches!(input, schedule::Input::Load { .. })).await;
    relay.silence_open();
    bench.wait_for(|input| matches!(input, schedule::Input::Load { .. })).await;
    relay.silence_all(relay::Direction::Down);
    bench.wait_leaving("e1").await;
    relay.restore();
    bench.wait_up("e1").await;
    bench.stop().await;
    relay.stop().await;
    running.stop().await;
}

#[tokio::test]
async fn a_deleted_endpoint_is_told_as_leaving() {
    let running = engine::serve(engine::Settings::default()).await.unwrap();
    let mut bench = Bench::start(vec![pool(), endpoint("e1", running.address())]).await;
    bench.wait_up("e1").await;
    bench.config.send_replace(sync::Arc::new(config::Snapshot::of(2, vec![pool()])));
    bench.wait_leaving("e1").await;
    bench.stop().await;
    running.stop().await;
}
