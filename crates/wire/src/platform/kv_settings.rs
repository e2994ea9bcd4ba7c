//! Settings of the key-value client.

use std::{net, time};

/// Settings of a [`crate::platform::KvClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KvSettings {
    /// The address of the service.
    pub address: net::SocketAddr,
    /// The longest time for a call.
    pub deadline: time::Duration,
    /// The longest time for opening a connection; shorter than `deadline`.
    pub connect: time::Duration,
    /// The local address of connections; with `None` the operating system chooses one.
    pub local: Option<net::IpAddr>,
}

impl KvSettings {
    /// Creates the default settings for the service at `address`.
    pub const fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            deadline: time::Duration::from_millis(1000),
            connect: time::Duration::from_millis(400),
            local: None,
        }
    }
}
