//! Tests of the clients and servers.

#![allow(clippy::unwrap_used)]

mod endpoint;
mod http;
mod peer;
