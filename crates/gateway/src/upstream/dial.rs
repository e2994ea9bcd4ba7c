//! Opens connections to endpoints, directly or through other daemons.

use std::{io, sync};

use trefoildyke_decide::gateway;

use crate::{state, tunnel, upstream};

/// Opens a connection to the endpoint of `grant`, through another daemon if this one reaches no endpoint.
///
/// # Errors
///
/// Returns an error if the endpoint is not reached. Nothing was sent to it then.
pub(super) async fn open(
    shared: &sync::Arc<state::Shared>,
    grant: &gateway::Grant,
) -> io::Result<upstream::Connection> {
    if !shared.core().links.is_isolated() {
        let opened = shared.connections.open(grant.address).await;
        shared.record_link(&grant.endpoint, opened.is_ok());
        if opened.is_ok() || !shared.core().links.is_isolated() {
            return opened;
        }
    } else if shared.core().links.take_probe(shared.now()) {
        probe(shared, grant);
    }
    let stream = tunnel::open(shared, &grant.endpoint).await?;
    let mut connection = upstream::Connection::begin(&shared.connections, stream).await?;
    // The other daemon counts a tunnel as a request in progress.
    connection.forbid_reuse();
    Ok(connection)
}

/// Tries to reach an endpoint directly, apart from any request, as the attempt may take long.
fn probe(shared: &sync::Arc<state::Shared>, grant: &gateway::Grant) {
    let (shared, endpoint, address) =
        (sync::Arc::clone(shared), grant.endpoint.clone(), grant.address);
    let pool = sync::Arc::clone(&shared);
    pool.connections.spawn(async move {
        let limit = shared.settings.connect_timeout;
        let is_open = upstream::connect(address, limit).await.is_ok();
        shared.record_link(&endpoint, is_open);
    });
}
