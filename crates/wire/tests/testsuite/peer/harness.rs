//! Starts peer servers on loopback and connects to them.

use std::net;

use tokio::{net as tokio_net, task};
use tokio_util::sync::CancellationToken;
use trefoildyke_types::id;
use trefoildyke_wire::peer;

pub(crate) const SERVER_INCARNATION: u64 = 7;
pub(crate) const CLIENT_INCARNATION: u64 = 9;

/// A running server; it ends with the test's runtime.
pub(crate) struct Server {
    pub(crate) address: net::SocketAddr,
    pub(crate) stop: CancellationToken,
    pub(crate) task: task::JoinHandle<std::io::Result<()>>,
}

pub(crate) fn identity(incarnation: u64, keys: &[&str]) -> peer::Identity {
    peer::Identity {
        incarnation: id::Incarnation::from_u64(incarnation),
        keys: peer::Keys::new(keys).unwrap(),
        clock: peer::Clock::default(),
    }
}

pub(crate) async fn serve(keys: &[&str], limits: peer::Limits, methods: peer::Methods) -> Server {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let server =
        peer::serve(listener, identity(SERVER_INCARNATION, keys), limits, methods, stop.clone());
    Server { address, stop, task: tokio::spawn(server) }
}

/// Connects to the server at `address` and runs the connection on its own task.
pub(crate) async fn connect(
    address: net::SocketAddr,
    keys: &[&str],
    limits: peer::Limits,
) -> Result<(peer::PeerClient, task::JoinHandle<Result<(), peer::Error>>), peer::Error> {
    let expected = Some(id::Incarnation::from_u64(SERVER_INCARNATION));
    let connection =
        peer::connect(address, expected, &identity(CLIENT_INCARNATION, keys), limits).await?;
    Ok((connection.client, tokio::spawn(connection.driver)))
}

/// Returns methods whose `look_up` finds no record and whose `exchange` returns its argument.
pub(crate) fn echo_methods() -> peer::Methods {
    peer::Methods {
        exchange: peer::Methods::method(|_, digest| std::future::ready(Ok(digest))),
        look_up: peer::Methods::method(|_, _| std::future::ready(Ok(None))),
        ..peer::Methods::default()
    }
}
