//! Connections on which nothing comes any more.

use std::time;

use tokio::{io, net as tokio_net};
use trefoildyke_wire::peer;

use crate::peer::nodes;

const KEY: &str = "0123456789abcdef";
const LONG: time::Duration = time::Duration::from_secs(20);

fn quick() -> peer::Limits {
    peer::Limits {
        heartbeat_ms: 50,
        silence_ms: 400,
        idle_heartbeat_ms: 100,
        idle_silence_ms: 800,
        ..peer::Limits::default()
    }
}

/// Forwards one connection until `cut` is cancelled, then holds it open and forwards nothing.
async fn relay(
    target: std::net::SocketAddr,
    cut: tokio_util::sync::CancellationToken,
) -> std::net::SocketAddr {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut near, _) = listener.accept().await.unwrap();
        let mut far = tokio_net::TcpStream::connect(target).await.unwrap();
        tokio::select! {
            () = cut.cancelled() => {}
            _ = io::copy_bidirectional(&mut near, &mut far) => {}
        }
        std::future::pending::<()>().await;
    });
    address
}

#[tokio::test]
async fn an_idle_connection_stays_by_heartbeats() {
    let limits = quick();
    let server = nodes::serve(&[KEY], limits, nodes::echo()).await;
    let (client, driver) = nodes::connect(server.address, &[KEY], limits).await.unwrap();
    let several = limits.idle_silence() * 3;
    assert!(tokio::time::timeout(several, driver).await.is_err(), "the connection ended");
    assert!(client.exchange(peer::within(LONG), peer::Payload::default()).await.is_ok());
}

#[tokio::test]
async fn a_silent_connection_is_given_up_by_both_sides() {
    let limits = quick();
    let server = nodes::serve(&[KEY], limits, nodes::echo()).await;
    let cut = tokio_util::sync::CancellationToken::new();
    let address = relay(server.address, cut.clone()).await;
    let (client, driver) = nodes::connect(address, &[KEY], limits).await.unwrap();
    assert!(client.exchange(peer::within(LONG), peer::Payload::default()).await.is_ok());
    cut.cancel();
    let call = client.exchange(peer::within(LONG), peer::Payload::default());
    let started = time::Instant::now();
    assert!(call.await.is_err(), "the call was answered over a cut connection");
    assert!(started.elapsed() < LONG, "the call waited for its deadline");
    let end = tokio::time::timeout(LONG, driver).await.unwrap().unwrap();
    assert!(matches!(end, Err(peer::Error::Silent)), "{end:?}");
}

#[tokio::test]
async fn a_long_call_stays_by_heartbeats() {
    let limits = quick();
    let methods = peer::Methods {
        changes: peer::Methods::method(|_, _| std::future::pending()),
        ..nodes::echo()
    };
    let server = nodes::serve(&[KEY], limits, methods).await;
    let (client, driver) = nodes::connect(server.address, &[KEY], limits).await.unwrap();
    let several = limits.silence() * 4;
    assert!(client.changes(peer::within(several), peer::ChangesRequest::default()).await.is_err());
    assert!(!driver.is_finished(), "the connection ended under a call in flight");
    assert!(client.exchange(peer::within(LONG), peer::Payload::default()).await.is_ok());
}

#[tokio::test]
async fn a_silent_idle_connection_is_given_up() {
    let limits = quick();
    let server = nodes::serve(&[KEY], limits, nodes::echo()).await;
    let cut = tokio_util::sync::CancellationToken::new();
    let address = relay(server.address, cut.clone()).await;
    let (_client, driver) = nodes::connect(address, &[KEY], limits).await.unwrap();
    cut.cancel();
    let end = tokio::time::timeout(LONG, driver).await.unwrap().unwrap();
    assert!(matches!(end, Err(peer::Error::Silent)), "{end:?}");
}
