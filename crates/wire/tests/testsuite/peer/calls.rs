//! Calls, deadlines and limits.

use std::{future, sync, time};

use trefoildyke_types::error;
use trefoildyke_wire::peer;

use crate::peer::nodes;

const KEY: &str = "0123456789abcdef";
const LONG: time::Duration = time::Duration::from_secs(20);

fn payload(size: usize) -> peer::Payload {
    peer::Payload(vec![5; size].into())
}

#[tokio::test]
async fn a_call_is_answered() {
    let limits = peer::Limits::default();
    let server = nodes::serve(&[KEY], limits, nodes::echo()).await;
    let (client, _driver) = nodes::connect(server.address, &[KEY], limits).await.unwrap();
    let answer = client.exchange(peer::within(LONG), payload(1_000)).await.unwrap();
    assert_eq!(answer.unwrap(), payload(1_000));
}

#[tokio::test]
async fn a_call_that_nothing_serves_is_unavailable() {
    let limits = peer::Limits::default();
    let server = nodes::serve(&[KEY], limits, peer::Methods::default()).await;
    let (client, _driver) = nodes::connect(server.address, &[KEY], limits).await.unwrap();
    let error = client
        .changes(peer::within(LONG), peer::ChangesRequest::default())
        .await
        .unwrap()
        .unwrap_err();
    assert_eq!(error.kind, error::ErrorKind::Unavailable);
}

#[tokio::test]
async fn the_method_learns_the_callers_incarnation() {
    let limits = peer::Limits::default();
    let seen = sync::Arc::new(sync::Mutex::new(None));
    let seen_by_method = sync::Arc::clone(&seen);
    let methods = peer::Methods {
        exchange: peer::Methods::method(move |caller: peer::Caller, digest| {
            *seen_by_method.lock().unwrap() = Some(caller.incarnation.as_u64());
            future::ready(Ok(digest))
        }),
        ..peer::Methods::default()
    };
    let server = nodes::serve(&[KEY], limits, methods).await;
    let (client, _driver) = nodes::connect(server.address, &[KEY], limits).await.unwrap();
    client.exchange(peer::within(LONG), payload(1)).await.unwrap().unwrap();
    assert_eq!(*seen.lock().unwrap(), Some(nodes::CLIENT));
}

#[tokio::test]
async fn a_call_past_its_deadline_fails_and_the_connection_stays() {
    let limits = peer::Limits::default();
    let methods =
        peer::Methods { changes: peer::Methods::method(|_, _| future::pending()), ..nodes::echo() };
    let server = nodes::serve(&[KEY], limits, methods).await;
    let (client, _driver) = nodes::connect(server.address, &[KEY], limits).await.unwrap();
    let short = time::Duration::from_millis(30);
    assert!(client.changes(peer::within(short), peer::ChangesRequest::default()).await.is_err());
    assert!(client.exchange(peer::within(LONG), payload(1)).await.is_ok());
}

#[tokio::test]
async fn a_frame_over_the_limit_ends_the_connection() {
    let server_limits = peer::Limits { frame_bytes: 10_000, ..peer::Limits::default() };
    let server = nodes::serve(&[KEY], server_limits, nodes::echo()).await;
    let limits = peer::Limits::default();
    let (client, driver) = nodes::connect(server.address, &[KEY], limits).await.unwrap();
    assert!(client.exchange(peer::within(LONG), payload(20_000)).await.is_err());
    driver.await.unwrap().unwrap_err();
}

#[tokio::test]
async fn a_server_over_its_limit_closes_the_next_connection() {
    let limits = peer::Limits { connections: 1, ..peer::Limits::default() };
    let server = nodes::serve(&[KEY], limits, nodes::echo()).await;
    let (client, _driver) = nodes::connect(server.address, &[KEY], limits).await.unwrap();
    assert!(nodes::connect(server.address, &[KEY], limits).await.is_err());
    assert!(client.exchange(peer::within(LONG), payload(1)).await.is_ok());
}

#[tokio::test]
async fn a_stopped_server_joins_its_connections() {
    let limits = peer::Limits::default();
    let server = nodes::serve(&[KEY], limits, nodes::echo()).await;
    let (client, driver) = nodes::connect(server.address, &[KEY], limits).await.unwrap();
    server.stop.cancel();
    server.task.await.unwrap().unwrap();
    let _ = driver.await.unwrap();
    assert!(client.exchange(peer::within(LONG), payload(1)).await.is_err());
}

#[tokio::test]
async fn both_sides_take_in_the_other_ones_clock() {
    let limits = peer::Limits::default();
    let (near, far) =
        (nodes::identity(nodes::CLIENT, &[KEY]), nodes::identity(nodes::SERVER, &[KEY]));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = tokio_util::sync::CancellationToken::new();
    tokio::spawn(peer::serve(listener, far.clone(), limits, nodes::echo(), stop));
    let connection = peer::connect(address, None, &near, limits).await.unwrap();
    let _driver = tokio::spawn(connection.driver);
    near.clock.merge(1_000);
    connection.client.exchange(peer::within(LONG), payload(1)).await.unwrap().unwrap();
    assert_eq!(far.clock.now(), 1_000);
    far.clock.merge(2_000);
    connection.client.exchange(peer::within(LONG), payload(1)).await.unwrap().unwrap();
    assert_eq!(near.clock.now(), 2_000);
    assert_eq!(near.clock.tick(5), 2_001);
    assert_eq!(near.clock.tick(3_000), 3_000);
}
