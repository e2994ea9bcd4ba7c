//! Limits of a client.

use std::{net, time};

/// Limits what a [`crate::http::Client`] spends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// How long opening a connection may take.
    pub connect: time::Duration,
    /// How long an unused connection is kept.
    pub idle: time::Duration,
    /// How many unused connections are kept for each address.
    pub pooled: usize,
    /// The largest body of an answer, in bytes.
    pub body: usize,
    /// The address that connections are opened from; `None` leaves it to the operating system.
    pub local: Option<net::IpAddr>,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect: time::Duration::from_secs(1),
            idle: time::Duration::from_secs(20),
            pooled: 64,
            body: 8 << 20,
            local: None,
        }
    }
}
