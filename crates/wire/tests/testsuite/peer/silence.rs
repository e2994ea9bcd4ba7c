//! Tests of heartbeats and of connections on which nothing arrives any more.

use std::time;

use tokio::{io, net as tokio_net};
use trefoildyke_wire::peer;

use crate::peer::harness;

const KEY: &str = "0123456789abcdef";
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

fn short_intervals() -> peer::Limits {
    peer::Limits {
        heartbeat_ms: 50,
        silence_ms: 400,
        idle_heartbeat_ms: 100,
        idle_silence_ms: 800,
        ..peer::Limits::default()
    }
}

/// Forwards one connection until `forwarding` is cancelled, then keeps it open without forwarding.
async fn relay(
    target: std::net::SocketAddr,
    forwarding: tokio_util::sync::CancellationToken,
) -> std::net::SocketAddr {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut client, _) = listener.accept().await.unwrap();
        let mut server = tokio_net::TcpStream::connect(target).await.unwrap();
        tokio::select! {
            () = forwarding.cancelled() => {}
            _ = io::copy_bidirectional(&mut client, &mut server) => {}
        }
        std::future::pending::<()>().await;
    });
    address
}

#[tokio::test]
async fn heartbeats_keep_an_idle_connection_open() {
    let limits = short_intervals();
    let server = harness::serve(&[KEY], limits, harness::echo_methods()).await;
    let (client, driver) = harness::connect(server.address, &[KEY], limits).await.unwrap();
    let duration = limits.idle_silence() * 3;
    assert!(tokio::time::timeout(duration, driver).await.is_err(), "the connection ended");
    assert!(client.exchange(peer::within(TIMEOUT), peer::Payload::default()).await.is_ok());
}

#[tokio::test]
async fn a_silent_connection_is_closed_and_its_call_fails() {
    let limits = short_intervals();
    let server = harness::serve(&[KEY], limits, harness::echo_methods()).await;
    let forwarding = tokio_util::sync::CancellationToken::new();
    let address = relay(server.address, forwarding.clone()).await;
    let (client, driver) = harness::connect(address, &[KEY], limits).await.unwrap();
    assert!(client.exchange(peer::within(TIMEOUT), peer::Payload::default()).await.is_ok());
    forwarding.cancel();
    let call = client.exchange(peer::within(TIMEOUT), peer::Payload::default());
    let started = time::Instant::now();
    assert!(call.await.is_err(), "the call was answered over a silent connection");
    assert!(started.elapsed() < TIMEOUT, "the call waited for its deadline");
    let end = tokio::time::timeout(TIMEOUT, driver).await.unwrap().unwrap();
    assert!(matches!(end, Err(peer::Error::Silent)), "{end:?}");
}

#[tokio::test]
async fn heartbeats_keep_the_connection_of_a_long_call_open() {
    let limits = short_intervals();
    let methods = peer::Methods {
        changes: peer::Methods::method(|_, _| std::future::pending()),
        ..harness::echo_methods()
    };
    let server = harness::serve(&[KEY], limits, methods).await;
    let (client, driver) = harness::connect(server.address, &[KEY], limits).await.unwrap();
    let duration = limits.silence() * 4;
    assert!(client.changes(peer::within(duration), peer::ChangesRequest::default()).await.is_err());
    assert!(!driver.is_finished(), "the connection ended under a call in flight");
    assert!(client.exchange(peer::within(TIMEOUT), peer::Payload::default()).await.is_ok());
}

#[tokio::test]
async fn a_silent_idle_connection_is_closed() {
    let limits = short_intervals();
    let server = harness::serve(&[KEY], limits, harness::echo_methods()).await;
    let forwarding = tokio_util::sync::CancellationToken::new();
    let address = relay(server.address, forwarding.clone()).await;
    let (_client, driver) = harness::connect(address, &[KEY], limits).await.unwrap();
    forwarding.cancel();
    let end = tokio::time::timeout(TIMEOUT, driver).await.unwrap().unwrap();
    assert!(matches!(end, Err(peer::Error::Silent)), "{end:?}");
}
