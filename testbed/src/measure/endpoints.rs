//! What watching a shard's endpoints and reading the host list cost.

use std::{
    net,
    sync::{self, atomic},
    time,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    sync::{mpsc, watch},
    task,
};
use trefoildyke_daemon::{endpoints, hosts};
use trefoildyke_decide::config;
use trefoildyke_types::{engine, resource};
use trefoildyke_wire::{
    endpoint::message as endpoint_message,
    platform::{self, message},
};

use crate::{
    hosts as platform_hosts,
    measure::{self, table},
};

const POOL: &str = "measured";
/// How long each size is watched, after a second in which connections open.
const WATCHED: time::Duration = time::Duration::from_secs(10);
const READINGS: u32 = 50;

/// Measures the watch over shards with the given numbers of endpoints.
///
/// # Errors
///
/// Fails if a port or a thread cannot be had.
pub fn watch(sizes: &[usize]) -> anyhow::Result<comfy_table::Table> {
    let mut table = table::new(&["endpoints", "calls a second", "bytes a second", "% of a core"]);
    for size in sizes {
        let watched = watch_one(*size)?;
        let seconds = WATCHED.as_secs_f64();
        table.add_row([
            size.to_string(),
            format!("{:.1}", watched.calls as f64 / seconds),
            format!("{:.0}", watched.bytes as f64 / seconds),
            format!("{:.3}", 100.0 * watched.busy.as_secs_f64() / seconds),
        ]);
    }
    Ok(table)
}

/// What a watch cost.
struct Watched {
    calls: u64,
    bytes: u64,
    busy: time::Duration,
}

/// Watches endpoints that run on threads of their own.
fn watch_one(size: usize) -> anyhow::Result<Watched> {
    let others =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let counts = sync::Arc::new(Counts::default());
    let mut resources = vec![pool()];
    let mut listed = Vec::new();
    for number in 0..size {
        let address = others.block_on(serve(sync::Arc::clone(&counts)))?;
        resources.push(endpoint(number, address));
        listed.push(host(number));
    }
    let settings = platform_hosts::Settings { hosts: listed, ..Default::default() };
    let list = others.block_on(platform_hosts::serve(settings))?;
    let control = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let busy = control.block_on(run(resources, list.address(), &counts));
    others.block_on(list.stop());
    let (calls, bytes) = counts.read();
    Ok(Watched { calls, bytes, busy })
}

/// Runs the watcher on the calling thread and returns how long the thread was busy.
async fn run(
    resources: Vec<resource::Resource>,
    list: net::SocketAddr,
    counts: &Counts,
) -> time::Duration {
    let client = platform::HostsClient::new(list, time::Duration::from_secs(1));
    let (hosts, poller) = hosts::new(hosts::Settings::default(), client);
    let snapshot = sync::Arc::new(config::Snapshot::from_resources(1, resources));
    let (_config, configs) = watch::channel(snapshot);
    let (feed, mut fed) = mpsc::channel(64);
    let shard = endpoints::Shard { pool: POOL.into(), number: 0 };
    let origin = tokio::time::Instant::now();
    let settings = endpoints::Settings::default();
    let (_handle, watcher) = endpoints::new(settings, shard, configs, &hosts, origin, feed);
    let mut tasks = task::JoinSet::new();
    tasks.spawn(poller.run());
    tasks.spawn(watcher.run());
    tasks.spawn(async move { while fed.recv().await.is_some() {} });
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    counts.clear();
    let before = measure::busy_time();
    tokio::time::sleep(WATCHED).await;
    let busy = measure::busy_time().saturating_sub(before);
    tasks.shutdown().await;
    busy
}

/// Counts what passes over the endpoints' connections.
#[derive(Debug, Default)]
struct Counts {
    calls: atomic::AtomicU64,
    bytes: atomic::AtomicU64,
}

impl Counts {
    fn add(&self, bytes: usize) {
        self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    fn clear(&self) {
        self.calls.store(0, atomic::Ordering::Relaxed);
        self.bytes.store(0, atomic::Ordering::Relaxed);
    }

    fn read(&self) -> (u64, u64) {
        (self.calls.load(atomic::Ordering::Relaxed), self.bytes.load(atomic::Ordering::Relaxed))
    }
}

/// Serves an endpoint that always says the same, and counts every byte.
async fn serve(counts: sync::Arc<Counts>) -> std::io::Result<net::SocketAddr> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    // Ends with the runtime of the endpoints.
    tokio::spawn(async move {
        let mut connections = task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn(answer(stream, sync::Arc::clone(&counts)));
        }
    });
    Ok(address)
}

async fn answer(mut stream: tokio::net::TcpStream, counts: sync::Arc<Counts>) {
    let mut request = vec![0; 4_096];
    loop {
        // The calls have no body and are short, so each comes in one piece.
        let Ok(length @ 1..) = stream.read(&mut request).await else { return };
        let is_load = request.starts_with(b"GET /v1/load");
        let body = if is_load { load() } else { cache_page() };
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length";
        let reply = format!("{head}: {}\r\n\r\n{body}", body.len());
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
        counts.add(length + reply.len());
    }
}

fn load() -> String {
    let report = engine::LoadReport {
        as_of_ms: 1_790_000_000_000,
        running: 16,
        waiting: 4,
        queued_prefill: 20_000,
        queued_decode: 8_000,
        cached_blocks: 4_096,
        step_us: 7_500,
    };
    serde_json::to_string(&report).unwrap_or_default()
}

/// Returns the cache events of about two busy seconds.
fn cache_page() -> String {
    let event = |seq| engine::CacheEvent {
        seq,
        kind: engine::CacheEventKind::Stored,
        block: 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(seq),
    };
    let page = endpoint_message::CachePage { events: (1..=40).map(event).collect(), next: 40 };
    serde_json::to_string(&page).unwrap_or_default()
}

/// Measures one reading of the platform's list with the given numbers of hosts.
///
/// # Errors
///
/// Fails if a port cannot be had or the list cannot be read.
pub fn list(sizes: &[usize]) -> anyhow::Result<comfy_table::Table> {
    let mut table = table::new(&["hosts", "KiB a reading", "ms a reading"]);
    for size in sizes {
        let hosts = message::HostList { hosts: (0..*size).map(host).collect(), as_of_ms: 0 };
        let text = serde_json::to_vec(&hosts)?;
        let before = measure::busy_time();
        for _ in 0..READINGS {
            let list: message::HostList = serde_json::from_slice(&text)?;
            std::hint::black_box(hosts::HostsRead::new(tokio::time::Instant::now(), list));
        }
        let busy = measure::busy_time().saturating_sub(before) / READINGS;
        table.add_row([
            size.to_string(),
            format!("{:.1}", text.len() as f64 / 1_024.0),
            format!("{:.3}", busy.as_secs_f64() * 1_000.0),
        ]);
    }
    Ok(table)
}

fn pool() -> resource::Resource {
    let protocol = resource::PoolProtocol::Engine { model: "model".into() };
    wrap(POOL, resource::Spec::EndpointPool(resource::EndpointPoolSpec { protocol, shards: 1 }))
}

fn endpoint(number: usize, address: net::SocketAddr) -> resource::Resource {
    let spec = resource::EndpointSpec {
        pool: POOL.into(),
        host: host(number).host,
        zone: "salem".into(),
        address,
        slots: 16,
        cache_tokens: 65_536,
        checks_fencing: true,
    };
    wrap(&format!("worker-{number}"), resource::Spec::Endpoint(spec))
}

fn wrap(name: &str, spec: resource::Spec) -> resource::Resource {
    let name = name.to_owned();
    resource::Resource { name, spec, generation: 1, resource_version: 1, status: None }
}

fn host(number: usize) -> message::Host {
    message::Host {
        host: format!("worker-host-{number}").as_str().into(),
        zone: "salem".into(),
        state: message::HostState::Live,
        role: message::HostRole::Endpoint,
        peer: None,
    }
}
