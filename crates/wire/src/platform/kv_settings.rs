//! Settings of the key-value client.

use std::{net, time};

/// Settings of a [`crate::platform::KvClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KvSettings {
    /// Where the service listens.
    pub address: net::SocketAddr,
    /// How long a call may take.
    pub deadline: time::Duration,
    /// How long opening a connection may take; shorter than `deadline`.
    pub connect: time::Duration,
    /// The address that connections are opened from; `None` leaves it to the operating system.
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
