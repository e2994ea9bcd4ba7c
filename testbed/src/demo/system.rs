//! The daemons and stand-ins of the demo.

use std::{net, time};

use trefoildyke_daemon::{daemon, settings};
use trefoildyke_decide::config;
use trefoildyke_types::resource;
use trefoildyke_wire::operators;

use crate::{engine, hosts, kv, model, service};

/// The key of the demo's client account.
pub(super) const KEY: &str = "demo-key";
/// The operators' token.
const TOKEN: &str = "demo-token";
/// The SHA-256 hash of [`TOKEN`].
const TOKEN_HASH: &str = "7c43ef5ae21d43ce2743f770c68e24def1a43ee2f416d2438410c8af7af2ff2c";
const RESOURCES: &str = include_str!("resources.yaml");
const DAEMONS: usize = 3;
/// One engine is half as fast as the other.
const SPEEDS: [f64; 2] = [1.0, 0.5];
/// How long the configuration may take to be in force everywhere.
const IN_FORCE: time::Duration = time::Duration::from_secs(9);
const CALL: time::Duration = time::Duration::from_secs(5);

/// Runs every part of the system.
pub(super) struct System {
    pub(super) engines: Vec<engine::Running>,
    pub(super) service: service::Running,
    daemons: Vec<daemon::Daemon>,
    // Stopped by being dropped, after the daemons.
    _kv: kv::Running,
    _hosts: hosts::Running,
}

impl System {
    /// Starts the stand-ins and then the daemons.
    pub(super) async fn start() -> anyhow::Result<Self> {
        let kv = kv::serve(kv::Settings::default()).await?;
        let hosts = hosts::serve(hosts::Settings::default()).await?;
        let service = service::serve(service::Settings::default()).await?;
        let mut engines = Vec::new();
        for speed in SPEEDS {
            let params = model::Params { speed, ..Default::default() };
            engines.push(engine::serve(engine::Settings { params, ..Default::default() }).await?);
        }
        let mut daemons: Vec<daemon::Daemon> = Vec::new();
        for number in 0..DAEMONS {
            let seeds: Vec<_> = daemons.iter().map(|daemon| daemon.addresses().peers).collect();
            let text = settings_text(number, &seeds, kv.address(), hosts.address());
            let settings = settings::Settings::from_yaml(&text)?;
            // A daemon has runtimes of its own and must not be started within another.
            let start = move || daemon::Daemon::start(&settings);
            daemons.push(tokio::task::spawn_blocking(start).await??);
        }
        Ok(Self { engines, service, daemons, _kv: kv, _hosts: hosts })
    }

    /// Returns where the daemons take requests.
    pub(super) fn callers(&self) -> Vec<net::SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.addresses().callers).collect()
    }

    /// Returns where the daemons take operators' calls.
    pub(super) fn operators(&self) -> Vec<net::SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.addresses().operators).collect()
    }

    /// Returns a client with the operators' token.
    pub(super) fn client(&self) -> anyhow::Result<operators::Client> {
        Ok(operators::Client::new(self.operators(), TOKEN, CALL)?)
    }

    /// Declares the configuration and waits until it is in force; returns its version.
    pub(super) async fn declare(&self) -> anyhow::Result<u64> {
        let client = self.client()?;
        let version = client.apply(&self.resources()?).await?.version;
        let limit = tokio::time::Instant::now() + IN_FORCE;
        while client.overview().await?.in_force < version {
            anyhow::ensure!(
                tokio::time::Instant::now() < limit,
                "version {version} was not in force everywhere within {} s",
                IN_FORCE.as_secs()
            );
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        Ok(version)
    }

    fn resources(&self) -> anyhow::Result<Vec<resource::Resource>> {
        let mut resources = config::from_yaml(RESOURCES)?;
        for (number, running) in self.engines.iter().enumerate() {
            let name = format!("engine-{number}");
            resources.push(endpoint(&name, "assistant", running.address())?);
        }
        resources.push(endpoint("mail-office", "portal", self.service.address())?);
        Ok(resources)
    }

    /// Stops every daemon gracefully.
    pub(super) async fn stop(self) -> anyhow::Result<()> {
        for daemon in self.daemons {
            tokio::task::spawn_blocking(move || daemon.stop()).await??;
        }
        Ok(())
    }
}

fn endpoint(
    name: &str,
    pool: &str,
    address: net::SocketAddr,
) -> anyhow::Result<resource::Resource> {
    let text = format!(
        "{{kind: Endpoint, name: {name}, spec: {{pool: {pool}, host: host-of-{name}, zone: salem, \
         address: '{address}', cache_tokens: 16384, checks_fencing: true}}}}"
    );
    let parsed = config::from_yaml(&text)?;
    parsed.into_iter().next().ok_or_else(|| anyhow::anyhow!("the endpoint's text is empty"))
}

fn settings_text(
    number: usize,
    seeds: &[net::SocketAddr],
    kv: net::SocketAddr,
    hosts: net::SocketAddr,
) -> String {
    let seeds: Vec<_> = seeds.iter().map(|seed| format!("'{seed}'")).collect();
    let seeds = seeds.join(", ");
    let any = "'127.0.0.1:0'";
    format!(
        "host: entry-{number}\nzone: salem\n\
         listen: {{callers: {any}, operators: {any}, peers: {any}, metrics: {any}}}\n\
         platform: {{kv: '{kv}', hosts: '{hosts}'}}\n\
         peers: {{keys: [the-peers-shared-key], seeds: [{seeds}]}}\n\
         operators: {{token_hashes: [{TOKEN_HASH}]}}\n"
    )
}
