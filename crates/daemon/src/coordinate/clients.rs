//! Clients of engines by address.

use std::{collections, net, sync};

use trefoildyke_wire::endpoint;

/// One client per engine address, so that requests to an engine share its connections.
#[derive(Default)]
pub(super) struct Clients {
    engines: sync::Mutex<collections::HashMap<net::SocketAddr, endpoint::EngineClient>>,
}

/// The maximum number of clients. When it is reached, the next lookup first drops all clients.
///
/// Operations in progress keep their own clones.
const MAX_CLIENTS: usize = 4_096;

impl Clients {
    pub(super) fn engine(&self, address: net::SocketAddr) -> endpoint::EngineClient {
        let mut engines = self.engines.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if engines.len() >= MAX_CLIENTS {
            engines.clear();
        }
        let create = || endpoint::EngineClient::new(address, endpoint::Limits::default());
        engines.entry(address).or_insert_with(create).clone()
    }
}
