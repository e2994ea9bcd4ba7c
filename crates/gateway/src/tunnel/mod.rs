//! Connections to endpoints through other daemons.
//!
//! A daemon that reaches callers and other daemons but no endpoint sends its requests through another daemon,
//! which copies bytes both ways; those of the endpoint in frames, so that the end of its connection differs from
//! the end of the other daemon. All decisions on a request stay with the daemon that took it from its caller.

mod client;
mod frames;
mod server;

pub(crate) use client::open;
pub(crate) use frames::Interrupted;
pub(crate) use server::{Tunnel, accept};

/// The path at which daemons open tunnels; the query contains the client's address for messages.
pub(crate) const PATH: &str = "/tunnel";

/// The header with the name of the endpoint.
const ENDPOINT: &str = "endpoint";

/// The protocol to which a connection is upgraded.
const PROTOCOL: &str = "trefoildyke-framed-tunnel";

/// The answer if the endpoint takes no requests from the daemon that was asked.
const NOT_ACCEPTED: hyper::StatusCode = hyper::StatusCode::CONFLICT;
