//! Clients of endpoints by address.

use std::{collections, net, sync};

use trefoildyke_wire::endpoint;

/// Keeps one client for each engine, so that its connections are shared.
#[derive(Default)]
pub(super) struct Clients {
    engines: sync::Mutex<collections::HashMap<net::SocketAddr, endpoint::EngineClient>>,
}

/// Above this many clients the unused ones are dropped together.
const MOST: usize = 4_096;

impl Clients {
    pub(super) fn engine(&self, address: net::SocketAddr) -> endpoint::EngineClient {
        let mut engines = self.engines.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if engines.len() >= MOST {
            engines.clear();
        }
        let new = || endpoint::EngineClient::new(address, endpoint::Limits::default());
        engines.entry(address).or_insert_with(new).clone()
    }
}
