//! Tests of calls between peers, with their deadlines and limits.

use std::{future, sync, time};

use trefoildyke_types::error;
use trefoildyke_wire::peer;

use crate::peer::harness;

const KEY: &str = "0123456789abcdef";
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

fn payload(size: usize) -> peer::Payload {
    peer::Payload(vec![5; size].into())
}

#[tokio::test]
async fn a_call_is_answered() {
    let limits = peer::Limits::default();
    let server = harness::serve(&[KEY], limits, harness::echo_methods()).await;
    let (client, _driver) = harness::connect(server.address, &[KEY], limits).await.unwrap();
    let answer = client.exchange(peer::within(TIMEOUT), payload(1_000)).await.unwrap();
    assert_eq!(answer.unwrap(), payload(1_000));
}

#[tokio::test]
async fn a_call_without_a_handler_is_unavailable() {
    let limits = peer::Limits::default();
    let server = harness::serve(&[KEY], limits, peer::Methods::default()).await;
    let (client, _driver) = harness::connect(server.address, &[KEY], limits).await.unwrap();
    let error = client
        .changes(peer::within(TIMEOUT), peer::ChangesRequest::default())
        .await
        .unwrap()
        .unwrap_err();
    assert_eq!(error.kind, error::ErrorKind::Unavailable);
}

#[tokio::test]
async fn the_handler_receives_the_callers_incarnation() {
    let limits = peer::Limits::default();
    let received = sync::Arc::new(sync::Mutex::new(None));
    let handler_received = sync::Arc::clone(&received);
    let methods = peer::Methods {
        exchange: peer::Methods::method(move |caller: peer::Caller, digest| {
            *handler_received.lock().unwrap() = Some(caller.incarnation.as_u64());
            future::ready(Ok(digest))
        }),
        ..peer::Methods::default()
    };
    let server = harness::serve(&[KEY], limits, methods).await;
    let (client, _driver) = harness::connect(server.address, &[KEY], limits).await.unwrap();
    client.exchange(peer::within(TIMEOUT), payload(1)).await.unwrap().unwrap();
    assert_eq!(*received.lock().unwrap(), Some(harness::CLIENT_INCARNATION));
}

#[tokio::test]
async fn a_call_past_its_deadline_fails_and_the_connection_stays_open() {
    let limits = peer::Limits::default();
    let methods = peer::Methods {
        changes: peer::Methods::method(|_, _| future::pending()),
        ..harness::echo_methods()
    };
    let server = harness::serve(&[KEY], limits, methods).await;
    let (client, _driver) = harness::connect(server.address, &[KEY], limits).await.unwrap();
    let short = time::Duration::from_millis(30);
    assert!(client.changes(peer::within(short), peer::ChangesRequest::default()).await.is_err());
    assert!(client.exchange(peer::within(TIMEOUT), payload(1)).await.is_ok());
}

#[tokio::test]
async fn a_frame_over_the_limit_closes_the_connection() {
    let server_limits = peer::Limits { frame_bytes: 10_000, ..peer::Limits::default() };
    let server = harness::serve(&[KEY], server_limits, harness::echo_methods()).await;
    let limits = peer::Limits::default();
    let (client, driver) = harness::connect(server.address, &[KEY], limits).await.unwrap();
    assert!(client.exchange(peer::within(TIMEOUT), payload(20_000)).await.is_err());
    driver.await.unwrap().unwrap_err();
}

#[tokio::test]
async fn a_server_at_its_limit_closes_further_connections() {
    let limits = peer::Limits { connections: 1, ..peer::Limits::default() };
    let server = harness::serve(&[KEY], limits, harness::echo_methods()).await;
    let (client, _driver) = harness::connect(server.address, &[KEY], limits).await.unwrap();
    assert!(harness::connect(server.address, &[KEY], limits).await.is_err());
    assert!(client.exchange(peer::within(TIMEOUT), payload(1)).await.is_ok());
}

#[tokio::test]
async fn a_stopped_server_joins_its_connections() {
    let limits = peer::Limits::default();
    let server = harness::serve(&[KEY], limits, harness::echo_methods()).await;
    let (client, driver) = harness::connect(server.address, &[KEY], limits).await.unwrap();
    server.stop.cancel();
    server.task.await.unwrap().unwrap();
    let _ = driver.await.unwrap();
    assert!(client.exchange(peer::within(TIMEOUT), payload(1)).await.is_err());
}

#[tokio::test]
async fn both_sides_merge_the_clock_of_the_peer() {
    let limits = peer::Limits::default();
    let (client, server) = (
        harness::identity(harness::CLIENT_INCARNATION, &[KEY]),
        harness::identity(harness::SERVER_INCARNATION, &[KEY]),
    );
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = tokio_util::sync::CancellationToken::new();
    tokio::spawn(peer::serve(listener, server.clone(), limits, harness::echo_methods(), stop));
    let connection = peer::connect(address, None, &client, limits).await.unwrap();
    let _driver = tokio::spawn(connection.driver);
    client.clock.merge(1_000);
    connection.client.exchange(peer::within(TIMEOUT), payload(1)).await.unwrap().unwrap();
    assert_eq!(server.clock.now(), 1_000);
    server.clock.merge(2_000);
    connection.client.exchange(peer::within(TIMEOUT), payload(1)).await.unwrap().unwrap();
    assert_eq!(client.clock.now(), 2_000);
    assert_eq!(client.clock.tick(5), 2_001);
    assert_eq!(client.clock.tick(3_000), 3_000);
}
