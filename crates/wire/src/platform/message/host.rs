//! The platform's list of hosts.

use std::net;

use trefoildyke_types::id;

/// Says whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is there to be used.
    Live,
    /// The host is being taken back.
    Leaving,
}

/// Says what a host is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// It runs a daemon.
    Entry,
    /// It carries endpoints.
    Endpoint,
}

/// Describes one host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The host's name.
    pub host: id::HostName,
    /// The availability zone.
    pub zone: id::ZoneName,
    /// Whether the host stays.
    pub state: HostState,
    /// What the host is for.
    pub role: HostRole,
    /// Where the host's daemon listens for other daemons; `None` for hosts of endpoints.
    #[serde(default)]
    pub peer: Option<net::SocketAddr>,
}

/// Holds the platform's list of hosts, which lags behind the truth.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<Host>,
    /// When the list was true, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub as_of_ms: u64,
}
