//! The addresses of the platform's services.

use std::{net, time};

use trefoildyke_wire::platform;

/// The addresses of the platform's services, and the timeout of calls to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// The address of the key-value service.
    pub kv: net::SocketAddr,
    /// The address of the service that provides the list of hosts.
    pub hosts: net::SocketAddr,
    /// The timeout of a call, in milliseconds; from 10 to 60,000.
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
    /// Returns the settings of the client of the key-value service.
    pub const fn kv_settings(&self) -> platform::KvSettings {
        let mut settings = platform::KvSettings::new(self.kv);
        settings.deadline = self.call();
        settings
    }

    /// Returns the timeout of a call.
    pub const fn call(&self) -> time::Duration {
        time::Duration::from_millis(self.call_ms)
    }
}
