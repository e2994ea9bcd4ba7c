//! Clients and servers for the platform, endpoints and peers.

pub mod endpoint;
pub mod http;
pub mod operators;
pub mod peer;
pub mod platform;
