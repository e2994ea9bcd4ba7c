//! A complete system of processes.

use std::{collections, fs, net, path, time};

use trefoildyke_types::{id, resource};
use trefoildyke_wire::{http, operators};

use super::{Layout, Process, layout, wait_until};

const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// One daemon of the system.
pub(crate) struct Daemon {
    pub(crate) process: Process,
    pub(crate) callers: net::SocketAddr,
    pub(crate) operators: net::SocketAddr,
    pub(crate) peers: net::SocketAddr,
    pub(crate) host: String,
}

/// A complete system of processes, killed when dropped.
pub(crate) struct Cluster {
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) engines: Vec<Process>,
    pub(crate) services: Vec<Process>,
    pub(crate) kv: Process,
    pub(crate) hosts: Process,
    directory: path::PathBuf,
    http: http::Client,
    daemons_started: usize,
}

impl Cluster {
    /// Starts every process, applies the resources and waits until they are in force on every daemon.
    pub(crate) async fn start(name: &str, layout: Layout) -> Self {
        let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        let testbed = |name: &str, arguments: &[&str]| {
            Process::testbed(arguments, directory.join(format!("{name}.log")))
        };
        let slots = layout.slots.to_string();
        let call_ms = layout.call_ms.to_string();
        let engine = ["engine", "--slots", &slots];
        let service = ["service", "--slots", &slots, "--call-ms", &call_ms];
        let engines: Vec<_> =
            (0..layout.engines).map(|n| testbed(&format!("engine-{n}"), &engine)).collect();
        let services: Vec<_> =
            (0..layout.services).map(|n| testbed(&format!("service-{n}"), &service)).collect();
        let kv = testbed("kv", &["kv"]);
        let hosts = testbed("hosts", &["hosts"]);
        let mut cluster = Self {
            daemons: vec![],
            engines,
            services,
            kv,
            hosts,
            directory,
            http: http::Client::default(),
            daemons_started: 0,
        };
        for _ in 0..layout.daemons {
            cluster.add_daemon();
        }
        cluster.apply(&cluster.resources(&layout)).await;
        cluster
    }

    /// Starts one more daemon, which has the others as seeds.
    pub(crate) fn add_daemon(&mut self) {
        self.add_daemon_as(serde_json::json!({}));
    }

    /// Starts one more daemon with some peer settings replaced.
    pub(crate) fn add_daemon_as(&mut self, peers: serde_json::Value) {
        let host = format!("entry-{}", self.daemons_started);
        let file = self.directory.join(format!("{host}.yaml"));
        fs::write(&file, self.settings(&host, peers)).unwrap();
        let log = self.directory.join(format!("{host}.log"));
        let process = Process::daemon(&["--config", file.to_str().unwrap()], log);
        self.daemons.push(Daemon {
            callers: process.address("callers"),
            operators: process.address("operators"),
            peers: process.address("peers"),
            host,
            process,
        });
        self.daemons_started += 1;
    }

    fn settings(&self, host: &str, replaced: serde_json::Value) -> String {
        let seeds: Vec<_> = self.daemons.iter().map(|daemon| daemon.peers.to_string()).collect();
        let any = "127.0.0.1:0";
        let mut peers = serde_json::json!({"keys": ["a key of 16 bytes or more"], "seeds": seeds});
        if let (Some(peers), serde_json::Value::Object(replaced)) =
            (peers.as_object_mut(), replaced)
        {
            peers.extend(replaced);
        }
        serde_json::json!({
            "host": host,
            "zone": "salem",
            "listen": {"callers": any, "operators": any, "peers": any, "metrics": any},
            "platform": {"kv": self.kv.address(""), "hosts": self.hosts.address("")},
            "peers": peers,
            "operators": {"token_hashes": [layout::hash(layout::TOKEN)]},
        })
        .to_string()
    }

    fn resources(&self, layout: &Layout) -> Vec<resource::Resource> {
        let addresses = |processes: &[Process]| -> Vec<_> {
            processes.iter().map(|process| process.address("")).collect()
        };
        layout::resources(layout, &addresses(&self.engines), &addresses(&self.services))
    }

    /// Returns an operator client for one daemon.
    pub(crate) fn operator(&self, daemon: usize) -> operators::Client {
        let address = self.daemons[daemon].operators;
        operators::Client::new(vec![address], layout::TOKEN, CALL_TIMEOUT).unwrap()
    }

    /// Applies resources at daemon 0 and waits until they are in force on every daemon; returns the version.
    pub(crate) async fn apply(&self, resources: &[resource::Resource]) -> u64 {
        let operator = self.operator(0);
        let accepted =
            wait_until("a change is accepted", async || operator.apply(&resources).await.ok());
        let version = accepted.await.version;
        for index in 0..self.daemons.len() {
            self.wait_in_force(index, version).await;
        }
        version
    }

    /// Waits until a daemon reports that the version is in force on every daemon.
    async fn wait_in_force(&self, daemon: usize, version: u64) {
        let operator = self.operator(daemon);
        let live = u32::try_from(self.daemons.len()).unwrap();
        wait_until("a version is in force", async || {
            let overview = operator.overview().await.ok()?;
            (overview.in_force >= version && overview.live == live).then_some(())
        })
        .await;
    }

    /// Returns how often each request was started, summed over all endpoints.
    pub(crate) async fn start_counts(&self) -> collections::BTreeMap<String, u32> {
        let mut starts = collections::BTreeMap::new();
        for endpoint in self.engines.iter().chain(&self.services) {
            let ledger = self.ledger(endpoint).await;
            for (key, count) in ledger["starts"].as_object().unwrap() {
                *starts.entry(key.clone()).or_default() +=
                    u32::try_from(count.as_u64().unwrap()).unwrap();
            }
        }
        starts
    }

    async fn ledger(&self, endpoint: &Process) -> serde_json::Value {
        let uri = format!("http://{}/v1/ledger", endpoint.address(""));
        let request = hyper::Request::get(uri).body(bytes::Bytes::new()).unwrap();
        http::parse(&self.http.call(request, CALL_TIMEOUT).await.unwrap()).unwrap()
    }

    /// Returns how often one request was started at one endpoint.
    pub(crate) async fn start_count_at(&self, endpoint: &Process, id: id::RequestId) -> u64 {
        let ledger = self.ledger(endpoint).await;
        ledger["starts"][format!("cascadia/{id}")].as_u64().unwrap_or(0)
    }

    /// Returns how often one request was started.
    pub(crate) async fn start_count(&self, id: id::RequestId) -> u32 {
        self.start_counts().await.get(&format!("cascadia/{id}")).copied().unwrap_or(0)
    }

    /// Sets the mode of a testbed process.
    pub(crate) async fn set_mode(&self, process: &Process, mode: serde_json::Value) {
        let uri = format!("http://{}/admin/mode", process.address(""));
        let request = http::json_request(hyper::Method::POST, &uri, &mode).unwrap();
        let response = self.http.call(request, CALL_TIMEOUT).await.unwrap();
        assert!(response.status().is_success());
    }
}
