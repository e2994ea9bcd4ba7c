//! Settings of a gateway.

use std::{net, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::names;

/// Holds the settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name, for logs.
    pub host: id::HostName,
    /// The host's availability zone.
    pub zone: id::ZoneName,
    /// Where it listens.
    pub listen: Listen,
    /// The names of the headers.
    pub names: names::HeaderNames,
    /// How much work for others this daemon takes on; unknown.
    pub strength: gateway::Strength,
    /// How the pools decide.
    pub pool: gateway::PoolParams,
    /// How long a key is believed after the configuration was confirmed last; 3.5 s.
    pub key_age: time::Duration,
    /// From which age of that confirmation on the gateway asks for no new connections; 2.5 s.
    pub ready_age: time::Duration,
    /// How old the list of endpoints may be, whoever read it, before the daemon reads it itself; 1.6 s.
    pub list_age: time::Duration,
    /// How long a missing endpoint is kept after the list's source was away; 2.2 s.
    pub list_grace: time::Duration,
    /// The ratio of repeated sends to requests that all daemons together keep to; 0.2.
    pub retry_ratio: f64,
    /// How many repeated sends are allowed besides, over all daemons; 50.
    pub retry_fixed: f64,
    /// The window in which repeated sends are counted; 10 s.
    pub retry_window: time::Duration,
    /// How quotas are kept.
    pub quota: gateway::QuotaParams,
    /// The part of a service's requests that a bad version may get; 0.1.
    pub exposure: f64,
    /// How requests are recognised that end endpoints.
    pub quarantine: gateway::QuarantineParams,
    /// How long a planned stop may take before it is cut short; 8 s.
    pub grace: time::Duration,
    /// How long a connection to an endpoint may take to open; 400 ms.
    ///
    /// Some forty round trips within a region.
    pub connect: time::Duration,
    /// How often the others are told what has changed; 50 ms.
    pub exchange: time::Duration,
    /// How many caller connections are served at once; 2,000.
    pub connections: usize,
}

/// Says where a gateway listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For readiness checks.
    pub ready: net::SocketAddr,
    /// For metrics; `None` serves none.
    pub metrics: Option<net::SocketAddr>,
    /// For the other daemons, over UDP.
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
            key_age: time::Duration::from_millis(3_500),
            ready_age: time::Duration::from_millis(2_500),
            list_age: time::Duration::from_millis(1_600),
            list_grace: time::Duration::from_millis(2_200),
            retry_ratio: 0.2,
            retry_fixed: 50.0,
            retry_window: time::Duration::from_secs(10),
            quota: gateway::QuotaParams::default(),
            exposure: 0.1,
            quarantine: gateway::QuarantineParams::default(),
            grace: time::Duration::from_secs(8),
            connect: time::Duration::from_millis(400),
            exchange: time::Duration::from_millis(50),
            connections: 2_000,
        }
    }
}
