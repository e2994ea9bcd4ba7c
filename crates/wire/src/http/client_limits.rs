//! Limits of an HTTP client.

use std::{net, time};

/// Timeouts and limits of a [`crate::http::Client`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The longest time for opening a connection.
    pub connect: time::Duration,
    /// How long an idle connection is kept open.
    pub idle_timeout: time::Duration,
    /// The maximum number of idle connections for each address; 0 disables reuse of connections.
    pub pooled: usize,
    /// The largest body of an answer, in bytes.
    pub body: usize,
    /// The local address of connections; with `None` the operating system chooses one.
    pub local: Option<net::IpAddr>,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect: time::Duration::from_secs(1),
            idle_timeout: time::Duration::from_secs(20),
            pooled: 64,
            body: 8 << 20,
            local: None,
        }
    }
}
