//! Tests of the HTTP clients and servers: deadlines, replaced connections, limits and event streams.

use std::{sync, sync::atomic, time};

use hyper::StatusCode;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use trefoildyke_types::error;
use trefoildyke_wire::http;

const TIMEOUT: time::Duration = time::Duration::from_secs(20);
const SHORT_TIMEOUT: time::Duration = time::Duration::from_millis(200);

async fn listener() -> tokio::net::TcpListener {
    tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap()
}

fn get(server: &http::Server, path: &str) -> hyper::Request<bytes::Bytes> {
    let uri = format!("http://{}{path}", server.address());
    hyper::Request::get(uri).body(bytes::Bytes::new()).unwrap()
}

async fn read_all(
    response: hyper::Response<hyper::body::Incoming>,
) -> (Vec<http::Event>, Result<(), http::CallError>) {
    let mut reader = http::EventReader::new(response.into_body(), 1024);
    let mut events = Vec::new();
    loop {
        match reader.next(TIMEOUT).await {
            Ok(Some(event)) => events.push(event),
            Ok(None) => return (events, Ok(())),
            Err(error) => return (events, Err(error)),
        }
    }
}

async fn echo_server(limits: http::ServerLimits) -> http::Server {
    http::Server::start(listener().await, limits, |call: http::Call| async move {
        let text: Result<String, _> = http::read_json(call.request.into_body(), 64, TIMEOUT).await;
        Ok(match text {
            Ok(text) => http::json(StatusCode::OK, &text),
            Err(error) => http::json(StatusCode::BAD_REQUEST, &error),
        })
    })
    .unwrap()
}

#[tokio::test]
async fn json_round_trips_and_both_ends_stop() {
    let server = echo_server(http::ServerLimits::default()).await;
    let client = http::Client::default();
    let uri = format!("http://{}/", server.address());
    let request = http::json_request(hyper::Method::POST, &uri, &"hello").unwrap();
    let reply = client.call(request, TIMEOUT).await.unwrap();
    assert_eq!(http::parse::<String>(&reply).unwrap(), "hello");
    tokio::time::timeout(TIMEOUT, client.close()).await.unwrap();
    tokio::time::timeout(TIMEOUT, server.stop(TIMEOUT)).await.unwrap();
}

#[tokio::test]
async fn too_long_and_malformed_bodies_fail_with_their_kinds() {
    let server = echo_server(http::ServerLimits::default()).await;
    let client = http::Client::default();
    let uri = format!("http://{}/", server.address());
    for (body, kind) in
        [("x".repeat(65), error::ErrorKind::TooLarge), ("{".to_owned(), error::ErrorKind::Invalid)]
    {
        let request = hyper::Request::post(&uri).body(body.into()).unwrap();
        let reply = client.call(request, TIMEOUT).await.unwrap();
        assert_eq!(http::parse::<error::Error>(&reply).unwrap().kind, kind);
    }
}

#[tokio::test]
async fn a_call_over_a_refused_connection_is_not_sent() {
    let server = echo_server(http::ServerLimits::default()).await;
    let request = get(&server, "/");
    server.stop(TIMEOUT).await;
    let error = http::Client::default().call(request, TIMEOUT).await.unwrap_err();
    assert!(matches!(error, http::CallError::NotSent(_)), "{error}");
    assert_eq!(error.as_write_error().kind, error::ErrorKind::Unavailable);
}

#[tokio::test]
async fn a_missing_answer_is_lost_and_its_connection_replaced() {
    let sources = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let handler_sources = sources.clone();
    let server = http::Server::start(
        listener().await,
        http::ServerLimits::default(),
        move |call: http::Call| {
            handler_sources.lock().unwrap().push(call.source);
            async move {
                if call.request.uri().path() == "/silent" {
                    std::future::pending::<()>().await;
                }
                Ok(http::json(StatusCode::OK, &"hello"))
            }
        },
    )
    .unwrap();
    let client = http::Client::default();
    client.call(get(&server, "/"), TIMEOUT).await.unwrap();
    client.call(get(&server, "/"), TIMEOUT).await.unwrap();
    let error = client.call(get(&server, "/silent"), SHORT_TIMEOUT).await.unwrap_err();
    assert!(matches!(error, http::CallError::Lost(_)), "{error}");
    assert_eq!(error.as_write_error().kind, error::ErrorKind::Unsure);
    client.call(get(&server, "/"), TIMEOUT).await.unwrap();
    let sources = sources.lock().unwrap().clone();
    assert_eq!(sources[0], sources[1], "the connection is reused");
    assert_ne!(sources[2], sources[3], "the silent connection is replaced");
}

#[tokio::test]
async fn an_aborted_answer_closes_the_connection_without_an_answer() {
    let server = http::Server::start(listener().await, http::ServerLimits::default(), |_| async {
        Err(http::Aborted)
    })
    .unwrap();
    let error = http::Client::default().call(get(&server, "/"), TIMEOUT).await.unwrap_err();
    assert!(matches!(error, http::CallError::Lost(_)), "{error}");
}

#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let limits = http::ServerLimits { connections: 1, ..Default::default() };
    let server = http::Server::start(listener().await, limits, |call: http::Call| async move {
        if call.request.uri().path() == "/hold" {
            std::future::pending::<()>().await;
        }
        Ok(http::json(StatusCode::OK, &"hello"))
    })
    .unwrap();
    let first = http::Client::default();
    first.call(get(&server, "/"), TIMEOUT).await.unwrap();
    let second = http::Client::default().call(get(&server, "/"), TIMEOUT).await;
    assert!(matches!(second.unwrap_err(), http::CallError::Lost(_)));
    first.call(get(&server, "/"), TIMEOUT).await.unwrap();
}

#[tokio::test]
async fn headers_above_the_limit_are_refused() {
    let limits = http::ServerLimits { header: 8192, ..Default::default() };
    let server = echo_server(limits).await;
    let mut request = get(&server, "/");
    let value = hyper::header::HeaderValue::from_str(&"x".repeat(20_000)).unwrap();
    request.headers_mut().insert("x-long", value);
    let reply = http::Client::default().call(request, TIMEOUT).await;
    let refused = reply.map_or(true, |reply| reply.status().is_client_error());
    assert!(refused, "a header of 20 kB was accepted");
}

#[tokio::test]
async fn stopping_lets_calls_in_progress_finish_and_joins_them() {
    let entered = sync::Arc::new(tokio::sync::Notify::new());
    let release = sync::Arc::new(tokio::sync::Notify::new());
    let (inner_entered, inner_release) = (entered.clone(), release.clone());
    let server = http::Server::start(listener().await, http::ServerLimits::default(), move |_| {
        let (entered, release) = (inner_entered.clone(), inner_release.clone());
        async move {
            entered.notify_one();
            release.notified().await;
            Ok(http::json(StatusCode::OK, &"whole"))
        }
    })
    .unwrap();
    let request = get(&server, "/");
    let call = tokio::spawn(async move { http::Client::default().call(request, TIMEOUT).await });
    entered.notified().await;
    let stop = tokio::spawn(server.stop(TIMEOUT));
    release.notify_one();
    let reply = call.await.unwrap().unwrap();
    assert_eq!(http::parse::<String>(&reply).unwrap(), "whole");
    tokio::time::timeout(TIMEOUT, stop).await.unwrap().unwrap();
}

#[tokio::test]
async fn events_arrive_in_order_and_an_aborted_stream_fails() {
    let opened = sync::Arc::new(atomic::AtomicUsize::new(0));
    let count = opened.clone();
    let server = http::Server::start(
        listener().await,
        http::ServerLimits::default(),
        move |call: http::Call| {
            let complete = call.request.uri().path() == "/whole";
            count.fetch_add(1, atomic::Ordering::Relaxed);
            async move {
                let (sender, response) = http::EventSender::new(4);
                tokio::spawn(async move {
                    sender.event("accepted", &1).await.unwrap();
                    sender.comment("beat").await.unwrap();
                    sender.data(&"two").await.unwrap();
                    if !complete {
                        sender.abort().await;
                    }
                });
                Ok(response)
            }
        },
    )
    .unwrap();
    let client = http::Client::default();
    let response = client.open(get(&server, "/whole"), TIMEOUT).await.unwrap();
    let (events, end) = read_all(response).await;
    let message = |name: &str, data: &str| http::Event::Message {
        name: name.to_owned(),
        data: data.to_owned(),
    };
    assert_eq!(events, [message("accepted", "1"), http::Event::Comment, message("", "\"two\"")]);
    assert_eq!(end, Ok(()));
    // The connection may fail before all sent events have arrived, but the stream never ends without an
    // error.
    let end = match client.open(get(&server, "/broken"), TIMEOUT).await {
        Ok(response) => read_all(response).await.1,
        Err(error) => Err(error),
    };
    assert!(matches!(end, Err(http::CallError::Lost(_))), "{end:?}");
    assert_eq!(opened.load(atomic::Ordering::Relaxed), 2);
}

#[tokio::test]
async fn a_silent_event_stream_is_lost() {
    let server = http::Server::start(listener().await, http::ServerLimits::default(), |_| async {
        let (sender, response) = http::EventSender::new(4);
        tokio::spawn(async move { sender.closed().await });
        Ok(response)
    })
    .unwrap();
    let response = http::Client::default().open(get(&server, "/"), TIMEOUT).await.unwrap();
    let mut reader = http::EventReader::new(response.into_body(), 1024);
    assert!(matches!(reader.next(SHORT_TIMEOUT).await.unwrap_err(), http::CallError::Lost(_)));
}

/// Guards against a search of the whole event for its end with each of its parts.
#[tokio::test]
async fn an_event_without_end_in_small_parts_is_refused() {
    let listener = listener().await;
    let uri = format!("http://{}/", listener.local_addr().unwrap());
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert_ne!(stream.read(&mut [0; 1024]).await.unwrap(), 0);
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let parts = b"4\r\nxxxx\r\n".repeat(1_000);
        while stream.write_all(&parts).await.is_ok() {}
    });
    let client = http::Client::default();
    let request = hyper::Request::get(uri).body(bytes::Bytes::new()).unwrap();
    let response = client.open(request, TIMEOUT).await.unwrap();
    let mut reader = http::EventReader::new(response.into_body(), 256 << 10);
    let read = tokio::time::timeout(TIMEOUT, reader.next(TIMEOUT)).await.unwrap();
    assert!(matches!(read, Err(http::CallError::Unusable(_))), "{read:?}");
    drop(reader);
    tokio::time::timeout(TIMEOUT, server).await.unwrap().unwrap();
}

/// Sends the parts of a body with a pause before each.
async fn paced_server(pauses: &'static [time::Duration]) -> http::Server {
    http::Server::start(listener().await, http::ServerLimits::default(), move |_| async move {
        let (sender, body) = http::Body::chunked(1);
        tokio::spawn(async move {
            for pause in pauses {
                tokio::time::sleep(*pause).await;
                if sender.send("part").await.is_err() {
                    return;
                }
            }
        });
        Ok(hyper::Response::new(body))
    })
    .unwrap()
}

/// A read of a large value from a slow link ended at its deadline however steadily the value arrived.
#[tokio::test]
async fn an_answer_that_arrives_steadily_is_read_however_long_it_takes() {
    const PAUSES: [time::Duration; 8] = [time::Duration::from_millis(50); 8];
    let server = paced_server(&PAUSES).await;
    let client = http::Client::default();
    let timeouts = http::FetchTimeouts::new(SHORT_TIMEOUT);
    let reply = client.fetch(get(&server, "/"), timeouts).await.unwrap();
    assert_eq!(reply.body().len(), 8 * "part".len());
    let cut = client.call(get(&server, "/"), SHORT_TIMEOUT).await;
    assert!(matches!(&cut, Err(http::CallError::Lost(detail)) if detail.contains("bytes came")));
    client.close().await;
    server.stop(TIMEOUT).await;
}

#[tokio::test]
async fn an_answer_that_stops_arriving_is_given_up() {
    const PAUSES: [time::Duration; 2] = [time::Duration::ZERO, TIMEOUT];
    let server = paced_server(&PAUSES).await;
    let client = http::Client::default();
    let start = time::Instant::now();
    let reply = client.fetch(get(&server, "/"), http::FetchTimeouts::new(SHORT_TIMEOUT)).await;
    assert!(matches!(&reply, Err(http::CallError::Lost(detail)) if detail.contains("4 bytes")));
    assert!(start.elapsed() < TIMEOUT / 2);
    client.close().await;
    server.stop(time::Duration::ZERO).await;
}
