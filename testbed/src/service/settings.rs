//! Settings of the stand-in.

use std::{net, time};

/// Settings of a plain service's stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where to listen; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// How long a call takes.
    pub call_time: time::Duration,
    /// How many calls run at once; at least 1.
    pub slots: usize,
    /// How old load reports are.
    pub report_lag: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            call_time: time::Duration::from_millis(20),
            slots: 8,
            report_lag: time::Duration::from_secs(1),
        }
    }
}
