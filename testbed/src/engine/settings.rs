//! Settings of the stand-in.

use std::{net, time};

use crate::model;

/// Settings of an engine's stand-in.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where to listen; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Speed and limits.
    pub params: model::Params,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// How long carrying out an order takes.
    pub order_time: time::Duration,
    /// How long a finished stream is kept.
    pub keep: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            params: model::Params::default(),
            checks_fencing: true,
            order_time: time::Duration::from_millis(50),
            keep: time::Duration::from_secs(60),
        }
    }
}
