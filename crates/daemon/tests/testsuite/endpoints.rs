//! The endpoint watcher of a shard, against simulated engines and a simulated platform.

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

/// A running watcher of one shard, with its simulated inputs.
struct Fixture {
    platform: platform::Running,
    config: watch::Sender<sync::Arc<config::Snapshot>>,
    handle: endpoints::Handle,
    feed: mpsc::Receiver<schedule::Input>,
    tasks: task::JoinSet<()>,
}

impl Fixture {
    /// Starts a watcher of the endpoints; all their hosts are live.
    async fn start(resources: Vec<resource::Resource>) -> Self {
        let names = resources.iter().map(|resource| resource.name.clone());
        let live = names.map(|name| host(&name, message::HostState::Live)).collect();
        let settings =
            platform::Settings { lag: Duration::ZERO, hosts: live, ..Default::default() };
        let platform = platform::serve(settings).await.unwrap();
        let client = HostsClient::new(platform.address(), Duration::from_secs(1));
        let (hosts, poller) = hosts::new(hosts::Settings { interval_ms: 50 }, client);
        let snapshot = sync::Arc::new(config::Snapshot::from_resources(1, resources));
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

    /// Waits for an input that matches.
    async fn wait_for(
        &mut self,
        matches_input: impl Fn(&schedule::Input) -> bool,
    ) -> schedule::Input {
        let next = async {
            loop {
                let input = self.feed.recv().await.unwrap();
                if matches_input(&input) {
                    return input;
                }
            }
        };
        tokio::time::timeout(WAIT, next).await.unwrap()
    }

    async fn wait_up(&mut self, name: &str) {
        let matches_input = |input: &schedule::Input| matches!(input, schedule::Input::EndpointUp(info) if info.endpoint.as_str() == name);
        self.wait_for(matches_input).await;
    }

    async fn wait_leaving(&mut self, name: &str) {
        let matches_input = |input: &schedule::Input| matches!(input, schedule::Input::EndpointLeaving(found) if found.as_str() == name);
        self.wait_for(matches_input).await;
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
    let mut fixture = Fixture::start(vec![pool(), endpoint("e1", running.address())]).await;
    fixture.wait_up("e1").await;
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
    // The load report and the cache events arrive in either order.
    let (mut blocks, mut was_running) = (Vec::new(), false);
    while blocks.is_empty() || !was_running {
        match fixture.wait_for(|_| true).await {
            schedule::Input::Load { report, .. } => was_running |= report.running == 1,
            schedule::Input::Cache { events, .. } => {
                blocks = events.iter().map(|event| event.block).collect();
            }
            _ => {}
        }
    }
    assert_eq!(blocks, [7, 8]);
    fixture.stop().await;
    running.stop().await;
}

#[tokio::test]
async fn a_probe_yields_a_load_report() {
    let running = engine::serve(engine::Settings::default()).await.unwrap();
    let mut fixture = Fixture::start(vec![pool(), endpoint("e1", running.address())]).await;
    fixture.wait_up("e1").await;
    fixture.handle.probe(&"e1".into());
    fixture.wait_for(|input| matches!(input, schedule::Input::Load { .. })).await;
    fixture.stop().await;
    running.stop().await;
}

#[tokio::test]
async fn a_leaving_host_is_reported_within_five_seconds() {
    let engines = [
        engine::serve(engine::Settings::default()).await.unwrap(),
        engine::serve(engine::Settings::default()).await.unwrap(),
    ];
    let [first, second] = &engines;
    let resources = vec![pool(), endpoint("e1", first.address()), endpoint("e2", second.address())];
    let mut fixture = Fixture::start(resources).await;
    fixture.wait_up("e1").await;
    fixture.wait_up("e2").await;
    let started = tokio::time::Instant::now();
    fixture.platform.set_hosts(vec![
        host("e1", message::HostState::Leaving),
        host("e2", message::HostState::Live),
    ]);
    fixture.wait_leaving("e1").await;
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    fixture.platform.set_hosts(vec![host("e1", message::HostState::Leaving)]);
    fixture.wait_leaving("e2").await;
    fixture.stop().await;
}

#[tokio::test]
async fn a_silent_endpoint_leaves_until_it_answers_again() {
    let running = engine::serve(engine::Settings::default()).await.unwrap();
    let relay = relay::serve(running.address()).await.unwrap();
    let mut fixture = Fixture::start(vec![pool(), endpoint("e1", relay.address())]).await;
    fixture.wait_up("e1").await;
    // Only the open connections go silent. New ones work, so the endpoint stays available.
    fixture.wait_for(|input| matches!(input, schedule::Input::Load { .. })).await;
    relay.silence_open();
    fixture.wait_for(|input| matches!(input, schedule::Input::Load { .. })).await;
    relay.silence_all(relay::Direction::Down);
    fixture.wait_leaving("e1").await;
    relay.restore();
    fixture.wait_up("e1").await;
    fixture.stop().await;
    relay.stop().await;
    running.stop().await;
}

#[tokio::test]
async fn a_deleted_endpoint_is_reported_as_leaving() {
    let running = engine::serve(engine::Settings::default()).await.unwrap();
    let mut fixture = Fixture::start(vec![pool(), endpoint("e1", running.address())]).await;
    fixture.wait_up("e1").await;
    fixture.config.send_replace(sync::Arc::new(config::Snapshot::from_resources(2, vec![pool()])));
    fixture.wait_leaving("e1").await;
    fixture.stop().await;
    running.stop().await;
}
