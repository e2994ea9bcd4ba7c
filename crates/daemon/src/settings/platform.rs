//! Where the platform's services are.

use std::{net, time};

use trefoildyke_wire::platform;

/// Holds the addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// The key-value service.
    pub kv: net::SocketAddr,
    /// The list of hosts.
    pub hosts: net::SocketAddr,
    /// How long a call may take, in milliseconds; from 10 to 60,000.
    pub call_ms: u64,
}

const fn loopback(port: u16) -> net::SocketAddr {
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), port)
}

impl Default for Platform {
    fn default() -> Self {
        Self { kv: loopback(7410), hosts: loopback(7411), call_ms: 1_000 }
    }
}

impl Platform {
    /// Returns the settings of the key-value service's client.
    pub const fn kv_settings(&self) -> platform::KvSettings {
        let mut settings = platform::KvSettings::new(self.kv);
        settings.deadline = self.call();
        settings
    }

    /// Returns how long a call may take.
    pub const fn call(&self) -> time::Duration {
        time::Duration::from_millis(self.call_ms)
    }
}
