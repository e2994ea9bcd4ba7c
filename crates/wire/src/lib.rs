//! Clients and servers for the platform, endpoints and peers.

pub mod http;
pub mod peer;
pub mod platform;
