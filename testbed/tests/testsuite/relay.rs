//! The relay that cuts, delays and silences.

use std::{net, time};

use testbed::relay;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net as tokio_net,
};

const LONG: time::Duration = time::Duration::from_secs(20);
const SHORT: time::Duration = time::Duration::from_millis(200);

/// Starts a server that sends back what it gets.
async fn echo() -> net::SocketAddr {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

async fn open(relay: &relay::Running) -> tokio_net::TcpStream {
    let mut stream = tokio_net::TcpStream::connect(relay.address()).await.unwrap();
    assert!(echoes(&mut stream, LONG).await);
    stream
}

/// Returns whether a byte comes back within `limit`.
async fn echoes(stream: &mut tokio_net::TcpStream, limit: time::Duration) -> bool {
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    let mut byte = [0];
    let read = tokio::time::timeout(limit, stream.read_exact(&mut byte)).await;
    matches!(read, Ok(Ok(_)))
}

#[tokio::test]
async fn open_connections_go_silent_and_new_ones_work() {
    let relay = relay::serve(echo().await).await.unwrap();
    let mut old = open(&relay).await;
    relay.silence_open();
    assert!(!echoes(&mut old, SHORT).await);
    let mut new = open(&relay).await;
    assert!(echoes(&mut new, LONG).await);
    relay.stop().await;
}

#[tokio::test]
async fn one_direction_alone_goes_silent_until_restored() {
    let relay = relay::serve(echo().await).await.unwrap();
    let mut stream = open(&relay).await;
    relay.silence_all(relay::Direction::Down);
    assert!(!echoes(&mut stream, SHORT).await);
    relay.restore();
    assert!(!echoes(&mut stream, SHORT).await, "the connection has lost data");
    open(&relay).await;
    relay.stop().await;
}

#[tokio::test]
async fn a_cut_closes_what_is_open_and_a_refusal_what_is_new() {
    let relay = relay::serve(echo().await).await.unwrap();
    let mut old = open(&relay).await;
    relay.cut_open();
    let mut byte = [0];
    let end = tokio::time::timeout(LONG, old.read(&mut byte)).await.unwrap();
    assert!(matches!(end, Ok(0) | Err(_)));
    relay.refuse_all();
    let mut refused = tokio_net::TcpStream::connect(relay.address()).await.unwrap();
    assert!(!echoes(&mut refused, LONG).await);
    relay.restore();
    open(&relay).await;
    relay.stop().await;
}

#[tokio::test]
async fn what_passes_is_delayed() {
    let relay = relay::serve(echo().await).await.unwrap();
    let mut stream = open(&relay).await;
    relay.delay(time::Duration::from_millis(60));
    let started = time::Instant::now();
    assert!(echoes(&mut stream, LONG).await);
    assert!(started.elapsed() >= time::Duration::from_millis(120));
    relay.stop().await;
}

#[tokio::test]
async fn data_that_is_held_up_arrives_together() {
    let relay = relay::serve(echo().await).await.unwrap();
    let mut stream = open(&relay).await;
    let interval = 10 * SHORT;
    relay.hold(interval);
    for _ in 0..4 {
        stream.write_all(b"x").await.unwrap();
        tokio::time::sleep(SHORT / 20).await;
    }
    let mut bytes = [0; 4];
    stream.read_exact(&mut bytes[..1]).await.unwrap();
    let first = time::Instant::now();
    stream.read_exact(&mut bytes[1..]).await.unwrap();
    assert!(first.elapsed() < interval / 2, "{:?}", first.elapsed());
    relay.restore();
    assert!(echoes(&mut stream, LONG).await);
    relay.stop().await;
}
