//! Settings of a gateway.

use std::{net, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::names;

/// The settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name, for logs.
    pub host: id::HostName,
    /// The host's availability zone.
    pub zone: id::ZoneName,
    /// The addresses on which it listens.
    pub listen: Listen,
    /// The names of the headers.
    pub names: names::HeaderNames,
    /// How much work for other daemons this daemon takes on; unknown by default.
    pub strength: gateway::Strength,
    /// The parameters of the endpoint pools.
    pub pool: gateway::PoolParams,
    /// How long the configuration counts as in force after its last confirmation; 3.5 s. After that, only requests
    /// to public routes are admitted, and requests without a key if client accounts are not in use.
    pub max_key_age: time::Duration,
    /// Whether client accounts are in use; true. If not, the keys that callers send and the age of the last
    /// confirmation play no part while the configuration has no list of accounts.
    pub uses_accounts: bool,
    /// The age of the last confirmation from which on the gateway reports that it is not ready; 2.5 s.
    pub max_ready_age: time::Duration,
    /// How long requests are still handled by an older version of the configuration after this daemon has
    /// learned of a newer one; 1 s.
    pub max_version_lag: time::Duration,
    /// The age up to which a list of endpoints counts as current, whichever daemon read it, so that this
    /// daemon need not read it itself; 1.6 s.
    pub max_list_age: time::Duration,
    /// How long an endpoint that is missing from the list is kept after an outage of the list's source; 2.2
    /// s.
    pub list_grace: time::Duration,
    /// The ratio of repeated sends to requests that all daemons together stay within; 0.2.
    pub retry_ratio: f64,
    /// The number of repeated sends allowed in addition to the ratio, over all daemons; 50.
    pub retry_allowance: f64,
    /// The window in which repeated sends are counted; 10 s.
    pub retry_window: time::Duration,
    /// The parameters of quotas.
    pub quota: gateway::QuotaParams,
    /// The share of a service's requests that a bad version may get; 0.1.
    pub canary_share: f64,
    /// The parameters for detecting requests that crash endpoints.
    pub quarantine: gateway::QuarantineParams,
    /// When a part of prompts is quarantined because endpoints crash under it.
    pub part_quarantine: gateway::PartQuarantineParams,
    /// How long a graceful stop may take before requests are cut off; 8 s.
    pub stop_grace: time::Duration,
    /// The timeout for opening a connection to an endpoint; 400 ms.
    ///
    /// This is about forty round trips within a region.
    pub connect_timeout: time::Duration,
    /// How often changes are sent to the other daemons; 50 ms.
    pub gossip_interval: time::Duration,
    /// The memory for the bodies of callers' requests, in bytes; 32 MiB.
    pub body_memory: usize,
    /// The memory for answers that are read as a whole and for incomplete events, in bytes; 24 MiB. Answers of up
    /// to 64 KiB are always read, and buffers of events of up to that length may take 4 MiB more.
    pub answer_memory: usize,
    /// How long streams last at most, over all attempts of their callers; 60 s. A version may have begun
    /// streams for that long after its last endpoint is gone.
    pub stream_retention: time::Duration,
    /// The limit on concurrent caller connections; 2,000.
    pub max_connections: usize,
}

/// The addresses on which a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// The address for callers, over TCP.
    pub callers: net::SocketAddr,
    /// The address for readiness checks, over TCP.
    pub ready: net::SocketAddr,
    /// The address for metrics, over TCP; `None` disables them.
    pub metrics: Option<net::SocketAddr>,
    /// The address for the other daemons, over UDP.
    pub peers: net::SocketAddr,
}

impl Settings {
    /// Returns the defaults for a host that listens at `listen`.
    pub fn new(host: id::HostName, zone: id::ZoneName, listen: Listen) -> Self {
        Self {
            host,
            zone,
            listen,
            names: names::HeaderNames::default(),
            strength: gateway::Strength::UNKNOWN,
            pool: gateway::PoolParams::default(),
            max_key_age: time::Duration::from_millis(3_500),
            uses_accounts: true,
            max_ready_age: time::Duration::from_millis(2_500),
            max_version_lag: time::Duration::from_millis(1_000),
            max_list_age: time::Duration::from_millis(1_600),
            list_grace: time::Duration::from_millis(2_200),
            retry_ratio: 0.2,
            retry_allowance: 50.0,
            retry_window: time::Duration::from_secs(10),
            quota: gateway::QuotaParams::default(),
            canary_share: 0.1,
            quarantine: gateway::QuarantineParams::default(),
            part_quarantine: gateway::PartQuarantineParams::default(),
            stop_grace: time::Duration::from_secs(8),
            connect_timeout: time::Duration::from_millis(400),
            gossip_interval: time::Duration::from_millis(50),
            body_memory: 32 << 20,
            answer_memory: 24 << 20,
            stream_retention: time::Duration::from_secs(60),
            max_connections: 2_000,
        }
    }
}
