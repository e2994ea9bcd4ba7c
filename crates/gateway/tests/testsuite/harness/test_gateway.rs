//! A gateway with a configuration for tests.

use std::{collections, net, sync, thread, time};

use trefoildyke_decide::gateway::{
    Account, AccountUnit, Config, Limits, Peer, RosterEntry, Route, RouteKind, Service, Strength,
    Target,
};
use trefoildyke_gateway::{Feed, Gateway, Journal, Listen, Settings};
use trefoildyke_kernel as kernel;
use trefoildyke_types::id;

use crate::harness::{Caller, Endpoint, Reply, log::Log};

/// The versions in the entries of endpoints that differ from the gateway's list.
type Registered = sync::Arc<sync::Mutex<collections::HashMap<id::EndpointName, id::VersionName>>>;

/// A running gateway.
pub(crate) struct TestGateway {
    /// Taken by [`TestGateway::stop`].
    running: Option<(kernel::Kernel, Gateway)>,
    pub(crate) feed: Feed,
    pub(crate) addresses: Listen,
    registered: Registered,
    log: Log,
    writer: Option<thread::JoinHandle<()>>,
}

impl TestGateway {
    /// Starts a gateway that has settings but no configuration.
    pub(crate) fn unconfigured(change: impl FnOnce(&mut Settings)) -> Self {
        let free: net::SocketAddr = "127.0.0.1:0".parse().unwrap();
        let listen = Listen { callers: free, ready: free, metrics: Some(free), peers: free };
        let mut settings = Settings::new("host-1".into(), "a".into(), listen);
        settings.max_key_age = time::Duration::from_secs(60);
        settings.max_ready_age = time::Duration::from_secs(60);
        // A gateway has no share of the fixed number of retries in its first window, so the ratio alone
        // must allow the retries of the tests.
        settings.retry_ratio = 5.0;
        change(&mut settings);
        let kernel = kernel::Kernel::builder().with_traffic_threads(1).start().unwrap();
        let log = Log::default();
        let (journal, writer) = Journal::start_with("host-1".into(), log.clone()).unwrap();
        let gateway = Gateway::start(&kernel, settings, journal).unwrap();
        let (feed, addresses) = (gateway.feed(), *gateway.addresses());
        let control = kernel.control();
        let registered = Registered::default();
        let token = control.token().clone();
        control.spawn("entries", answer_entry_queries(feed.clone(), registered.clone(), token));
        Self {
            running: Some((kernel, gateway)),
            feed,
            addresses,
            registered,
            log,
            writer: Some(writer),
        }
    }

    /// Starts a gateway with the default configuration and `endpoints`.
    pub(crate) fn start(endpoints: &[&Endpoint]) -> Self {
        let test_gateway = Self::unconfigured(|_| ());
        test_gateway.configure(endpoints);
        test_gateway
    }

    /// Gives the gateway the default configuration and `endpoints`.
    pub(crate) fn configure(&self, endpoints: &[&Endpoint]) {
        let own = Peer { address: self.addresses.peers, strength: Strength::UNKNOWN };
        self.feed.set_members(&[own]);
        self.feed.configure(config(1), Some(self.feed.now()));
        self.feed.note_orders_read();
        self.feed.load_versions(None);
        self.feed.set_endpoints(entries(endpoints));
    }

    /// Lets an endpoint write an entry with this version, which the gateway's list does not show yet.
    pub(crate) fn register(&self, endpoint: &str, version: &str) {
        self.registered.lock().unwrap().insert(endpoint.into(), version.into());
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller::connect(self.addresses.callers)
    }

    /// Sends one request on its own connection.
    pub(crate) fn request(&self, line: &str) -> Option<Reply> {
        self.request_with(line, &[])
    }

    /// Sends one request with further headers on its own connection.
    pub(crate) fn request_with(&self, line: &str, headers: &[(&str, &str)]) -> Option<Reply> {
        let mut caller = self.caller();
        let mut all = vec![
            ("trefoildyke-request-id", "r1"),
            ("trefoildyke-key", "k1"),
            ("trefoildyke-deadline-ms", "3000"),
        ];
        all.extend_from_slice(headers);
        caller.send(line, &all, "");
        caller.read_reply()
    }

    /// Queries the gateways that read the store for the others.
    pub(crate) fn query_readers(&self) {
        let (kernel, _) = self.running.as_ref().unwrap();
        kernel.block_on(self.feed.query_readers());
    }

    /// Stops gracefully and returns how many requests were cut off.
    pub(crate) fn stop(mut self) -> usize {
        self.stop_running()
    }

    /// Stops gracefully and returns the events of the log.
    pub(crate) fn stop_and_read_log(mut self) -> Vec<serde_json::Value> {
        self.stop_running();
        let (log, writer) = (self.log.clone(), self.writer.take().unwrap());
        // The writer ends with the gateway's state.
        drop(self);
        writer.join().unwrap();
        log.events()
    }

    fn stop_running(&mut self) -> usize {
        let (kernel, gateway) = self.running.take().unwrap();
        let cut = kernel.block_on(gateway.stop());
        assert!(kernel.close().is_empty());
        cut
    }
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        if let Some((kernel, gateway)) = self.running.take() {
            drop(gateway);
            let _ = kernel.close();
        }
    }
}

/// Answers the queries of single entries: as they are registered, or else as the list of the gateway has them.
async fn answer_entry_queries(
    feed: Feed,
    registered: Registered,
    shutdown: tokio_util::sync::CancellationToken,
) -> Result<(), std::convert::Infallible> {
    let answering = async {
        loop {
            let endpoint = feed.next_entry_query().await;
            let version = registered.lock().unwrap().get(&endpoint).cloned();
            let version = version.or_else(|| feed.listed_version(&endpoint));
            feed.record_entry(feed.now(), &endpoint, version);
        }
    };
    tokio::select! {
        () = shutdown.cancelled() => Ok(()),
        () = answering => Ok(()),
    }
}

/// Returns list entries for endpoints, named `e0`, `e1` and so on in their order.
pub(crate) fn entries(endpoints: &[&Endpoint]) -> Vec<RosterEntry> {
    let entry = |(number, endpoint): (usize, &&Endpoint)| RosterEntry {
        endpoint: format!("e{number}").as_str().into(),
        start: 0,
        service: "svc".into(),
        version: "v1".into(),
        address: endpoint.address,
        zone: "a".into(),
        slots: 4,
        draining: false,
    };
    endpoints.iter().enumerate().map(entry).collect()
}

fn route(name: &str, kind: RouteKind, attempts: u32) -> Route {
    Route {
        name: name.to_owned(),
        host: "claims.example".to_owned(),
        prefix: format!("/{name}/"),
        targets: vec![Target { service: "svc".into(), weight: 1.0 }],
        kind,
        timeout_ms: 2_000,
        objective_ms: 300,
        gap_ms: 400,
        patience_ms: None,
        priority: 0,
        attempts,
        public: name == "open",
    }
}

pub(crate) fn account(key: &str) -> Account {
    Account {
        name: "cascadia".into(),
        keys: vec![key.to_owned()],
        priority: None,
        rate: 0.0,
        burst: 0.0,
        unit: AccountUnit::Requests,
    }
}

/// The default configuration: a route of each kind.
fn config(version: u64) -> Config {
    Config {
        version,
        routes: vec![
            route("once", RouteKind::Once, 1),
            route("again", RouteKind::Idempotent, 2),
            route("stream", RouteKind::Stream { resumable: false }, 1),
            route("resume", RouteKind::Stream { resumable: true }, 2),
            route("open", RouteKind::Once, 1),
        ],
        services: vec![Service { name: "svc".into(), connections: 100, event_tokens: 4 }],
        accounts: vec![account("k1")],
        keyless: false,
        unreadable: 0,
        limits: Limits { body_bytes: 1_000, ..Limits::default() },
    }
}

impl TestGateway {
    /// Puts a changed version of the default configuration in force.
    pub(crate) fn reconfigure(&self, version: u64, change: impl FnOnce(&mut Config)) {
        let mut config = config(version);
        change(&mut config);
        self.feed.configure(config, Some(self.feed.now()));
    }

    /// Waits until `condition` holds, for five seconds at most.
    pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
        let end = time::Instant::now() + time::Duration::from_secs(5);
        while !condition() {
            assert!(time::Instant::now() < end, "not within five seconds: {what}");
            thread::sleep(time::Duration::from_millis(5));
        }
    }
}
