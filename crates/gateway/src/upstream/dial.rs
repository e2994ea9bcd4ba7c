//! Opens connections to endpoints, directly or through other daemons.

use std::{io, sync};

use trefoildyke_decide::gateway;

use crate::{state, tunnel, upstream};

/// Opens a connection to the endpoint of `grant` for the request `id`, through another daemon if this one
/// reaches no endpoint.
///
/// # Errors
///
/// Returns an error if the endpoint is not reached. Nothing was sent to it then.
pub(super) async fn open(
    shared: &sync::Arc<state::Shared>,
    id: &str,
    grant: &gateway::Grant,
) -> io::Result<upstream::Connection> {
    if !shared.core().links.is_isolated() {
        let opened = open_directly(shared, grant).await;
        shared.record_link(&grant.endpoint, opened.is_ok());
        if opened.is_ok() || !shared.core().links.is_isolated() {
            return opened;
        }
    } else if shared.core().links.take_probe(shared.now()) {
        probe(shared, grant);
    }
    let stream = tunnel::open(shared, id, &grant.endpoint).await?;
    let opened_at = shared.now();
    let mut connection =
        upstream::Connection::begin(&shared.connections, opened_at, stream, None).await?;
    // The other daemon counts a tunnel as a request in progress.
    connection.forbid_reuse();
    Ok(connection)
}

async fn open_directly(
    shared: &state::Shared,
    grant: &gateway::Grant,
) -> io::Result<upstream::Connection> {
    let stream = upstream::connect(grant.address, shared.settings.connect_timeout).await?;
    let take_error = Some(tokio::net::TcpStream::take_error as _);
    upstream::Connection::begin(&shared.connections, shared.now(), stream, take_error).await
}

/// Tries to reach an endpoint directly, apart from any request, as the attempt may take long.
fn probe(shared: &sync::Arc<state::Shared>, grant: &gateway::Grant) {
    let (owned, endpoint, address) =
        (sync::Arc::clone(shared), grant.endpoint.clone(), grant.address);
    shared.connections.spawn(async move {
        let is_open = upstream::connect(address, owned.settings.connect_timeout).await.is_ok();
        owned.record_link(&endpoint, is_open);
    });
}
