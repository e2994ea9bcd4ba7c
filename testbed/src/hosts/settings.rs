//! Settings of the stand-in.

use std::{net, time};

use trefoildyke_wire::platform::message;

/// Settings of the host list's stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where to listen; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// How far the list lags behind the truth.
    pub lag: time::Duration,
    /// The hosts at the start, shown without a lag.
    pub hosts: Vec<message::Host>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            lag: time::Duration::from_secs(1),
            hosts: Vec::new(),
        }
    }
}
