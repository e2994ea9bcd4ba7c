//! The platform's list of hosts.

use std::net;

use trefoildyke_types::id;

/// The state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is available.
    Live,
    /// The platform is withdrawing the host.
    Leaving,
}

/// The role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// The host runs a daemon.
    Entry,
    /// The host runs endpoints.
    Endpoint,
}

/// One host of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The host's name.
    pub host: id::HostName,
    /// The availability zone.
    pub zone: id::ZoneName,
    /// The host's state.
    pub state: HostState,
    /// The host's role.
    pub role: HostRole,
    /// The address at which the host's daemon accepts other daemons; `None` for hosts of endpoints.
    #[serde(default)]
    pub peer: Option<net::SocketAddr>,
}

/// The platform's list of hosts, which can be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The time that the list describes, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub as_of_ms: u64,
}
