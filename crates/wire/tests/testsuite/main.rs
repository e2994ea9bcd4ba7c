//! Tests of the clients and servers.

#![allow(clippy::unwrap_used)]

mod http;
mod peer;
