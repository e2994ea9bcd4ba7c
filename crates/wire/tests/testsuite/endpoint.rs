//! Tests of the clients for endpoints against servers that violate the protocol.

use std::{sync, sync::atomic, time::Duration};

use hyper::StatusCode;
use trefoildyke_types::{id, request, resource};
use trefoildyke_wire::{
    endpoint::{self, Fault, StreamError, message},
    http,
};

const TIMEOUT: Duration = Duration::from_secs(20);
const ID: &str = "0192d3a4-0000-7000-8000-000000000001";
const OTHER_ID: &str = "0192d3a4-0000-7000-8000-000000000002";

fn key() -> id::RequestKey {
    id::RequestKey { account: "agec".into(), id: ID.parse().unwrap() }
}

fn generate() -> message::Generate {
    message::Generate {
        id: key().id,
        account: key().account,
        prompt_tokens: 1,
        prefix: vec![],
        max_tokens: 4,
        input: String::new(),
    }
}

fn chunk(id: &str, offset: u64, tokens: usize, is_last: bool) -> request::Chunk {
    request::Chunk {
        id: id.parse().unwrap(),
        offset,
        tokens: (0..tokens).map(|_| "a ".to_owned()).collect(),
        finish: is_last.then_some(request::Finish::Whole),
    }
}

/// Serves one list of chunks per connection and repeats the last list for further connections.
///
/// Each stream ends without an error, even if the answer is incomplete.
async fn serve_chunks(lists: Vec<Vec<request::Chunk>>) -> http::Server {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connections = sync::Arc::new(atomic::AtomicUsize::new(0));
    let lists = sync::Arc::new(lists);
    http::Server::start(listener, http::ServerLimits::default(), move |_call| {
        let index = connections.fetch_add(1, atomic::Ordering::SeqCst).min(lists.len() - 1);
        let lists = sync::Arc::clone(&lists);
        async move {
            let (sender, response) = http::EventSender::new(16);
            for chunk in &lists[index] {
                sender.data(chunk).await?;
            }
            Ok(response)
        }
    })
    .unwrap()
}

/// Reads the stream to its end and returns the number of tokens and of resumptions.
async fn read_stream(lists: Vec<Vec<request::Chunk>>) -> Result<(u64, u32), StreamError> {
    let server = serve_chunks(lists).await;
    let client = endpoint::EngineClient::new(server.address(), endpoint::Limits::default());
    let mut stream = client.start(&generate()).await.unwrap();
    let mut tokens = 0;
    while let Some(chunk) = tokio::time::timeout(TIMEOUT, stream.next()).await.unwrap()? {
        tokens += chunk.tokens.len() as u64;
    }
    assert_eq!(stream.offset(), tokens);
    Ok((tokens, stream.resumes()))
}

#[tokio::test]
async fn a_gap_is_never_passed_on() {
    let gap = vec![chunk(ID, 0, 1, false), chunk(ID, 2, 2, true)];
    let rest = vec![chunk(ID, 1, 3, true)];
    assert_eq!(read_stream(vec![gap.clone(), rest]).await, Ok((4, 1)));
    let error = read_stream(vec![gap.clone(), vec![chunk(ID, 2, 2, true)]]).await;
    assert_eq!(error, Err(StreamError::Protocol(Fault::Gap { expected: 1, found: 2 })));
}

#[tokio::test]
async fn an_overlap_is_never_passed_on() {
    let overlap = vec![chunk(ID, 0, 2, false), chunk(ID, 1, 3, true)];
    let rest = vec![chunk(ID, 2, 2, true)];
    assert_eq!(read_stream(vec![overlap.clone(), rest]).await, Ok((4, 1)));
    let error = read_stream(vec![overlap, vec![chunk(ID, 0, 4, true)]]).await;
    assert_eq!(error, Err(StreamError::Protocol(Fault::Overlap { expected: 2, found: 0 })));
}

#[tokio::test]
async fn a_foreign_chunk_is_never_passed_on() {
    let foreign = vec![chunk(ID, 0, 2, false), chunk(OTHER_ID, 2, 2, true)];
    let rest = vec![chunk(ID, 2, 2, true)];
    assert_eq!(read_stream(vec![foreign.clone(), rest]).await, Ok((4, 1)));
    let error = read_stream(vec![foreign, vec![chunk(OTHER_ID, 2, 2, true)]]).await;
    assert_eq!(error, Err(StreamError::Protocol(Fault::Foreign(OTHER_ID.parse().unwrap()))));
}

#[tokio::test]
async fn a_stream_that_ends_early_is_resumed() {
    let lists = vec![vec![chunk(ID, 0, 2, false)], vec![chunk(ID, 2, 2, true)]];
    assert_eq!(read_stream(lists).await, Ok((4, 1)));
}

/// Starts a server that answers every call with `status`.
async fn server_with_status(status: StatusCode) -> http::Server {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    http::Server::start(listener, http::ServerLimits::default(), move |_call| async move {
        Ok(http::json(status, &"no"))
    })
    .unwrap()
}

/// Starts a server that accepts every call and closes the connection without an answer.
async fn closing_server() -> http::Server {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let limits = http::ServerLimits::default();
    http::Server::start(listener, limits, |_call| async { Err(http::Aborted) }).unwrap()
}

#[tokio::test]
async fn a_start_error_says_whether_work_can_have_started() {
    let refusing = server_with_status(StatusCode::BAD_REQUEST).await;
    let failing = server_with_status(StatusCode::INTERNAL_SERVER_ERROR).await;
    let closing = closing_server().await;
    let start = async |server: &http::Server| {
        let client = endpoint::EngineClient::new(server.address(), endpoint::Limits::default());
        client.start(&generate()).await.unwrap_err()
    };
    let refused = start(&refusing).await;
    assert!(matches!(refused, endpoint::StartError::Refused { status: 400, .. }), "{refused}");
    let failed = start(&failing).await;
    assert!(matches!(failed, endpoint::StartError::Unknown(_)), "{failed}");
    let lost = start(&closing).await;
    assert!(matches!(lost, endpoint::StartError::Unknown(_)), "{lost}");
    let address = closing.address();
    closing.stop(TIMEOUT).await;
    let client = endpoint::EngineClient::new(address, endpoint::Limits::default());
    let not_sent = client.start(&generate()).await.unwrap_err();
    assert!(matches!(not_sent, endpoint::StartError::NotSent(_)), "{not_sent}");
}

/// The time after which the clients of [`client_of_late_engine`] look for the stream of a start.
const ANSWER_LIMIT: Duration = Duration::from_millis(100);

/// Starts an engine that handles a start only after a pause, and knows its stream only then.
///
/// With `answers_start` it answers the start, otherwise only the calls that resume the stream. Counts the
/// starts.
async fn late_engine(answers_start: bool) -> (http::Server, sync::Arc<atomic::AtomicUsize>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let starts = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counted = sync::Arc::clone(&starts);
    let server = http::Server::start(listener, http::ServerLimits::default(), move |call| {
        let starts = sync::Arc::clone(&counted);
        async move {
            if call.request.method() == hyper::Method::POST {
                tokio::time::sleep(ANSWER_LIMIT * 3).await;
                starts.fetch_add(1, atomic::Ordering::SeqCst);
                if !answers_start {
                    std::future::pending::<()>().await;
                }
            } else if answers_start || starts.load(atomic::Ordering::SeqCst) == 0 {
                return Ok(http::json(StatusCode::NOT_FOUND, &"no"));
            }
            let (sender, response) = http::EventSender::new(16);
            sender.data(&chunk(ID, 0, 4, true)).await?;
            Ok(response)
        }
    });
    (server.unwrap(), starts)
}

/// Guards against a start that is given up before its stream is found in another way.
#[tokio::test]
async fn a_late_start_stays_open_until_its_stream_is_found() {
    for answers_start in [true, false] {
        let (server, starts) = late_engine(answers_start).await;
        let limits = endpoint::Limits { answer: ANSWER_LIMIT, ..endpoint::Limits::default() };
        let client = endpoint::EngineClient::new(server.address(), limits);
        let mut stream = client.start(&generate()).await.unwrap();
        let whole = tokio::time::timeout(TIMEOUT, stream.next()).await.unwrap().unwrap().unwrap();
        assert_eq!(whole.tokens.len(), 4);
        assert_eq!(starts.load(atomic::Ordering::SeqCst), 1, "sent more than once");
    }
}

#[tokio::test]
async fn a_start_without_any_answer_has_an_unknown_outcome() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let limits = http::ServerLimits::default();
    let server = http::Server::start(listener, limits, |_call| std::future::pending()).unwrap();
    let give_up = ANSWER_LIMIT * 5;
    let limits = endpoint::Limits { answer: ANSWER_LIMIT, give_up, ..Default::default() };
    let client = endpoint::EngineClient::new(server.address(), limits);
    let error = tokio::time::timeout(TIMEOUT, client.start(&generate())).await.unwrap();
    let error = error.unwrap_err();
    assert!(matches!(error, endpoint::StartError::Unknown(_)), "{error}");
}

#[tokio::test]
async fn an_order_whose_answer_is_lost_has_an_unknown_outcome() {
    let server = closing_server().await;
    let client = endpoint::EngineClient::new(server.address(), endpoint::Limits::default());
    let action = resource::OrderAction::SetRole { role: "decode".to_owned() };
    let order = message::Order { order: "role".to_owned(), fence: 1, action };
    let error = client.order(&order, TIMEOUT, || true).await.unwrap_err();
    assert!(matches!(error, endpoint::OrderError::Unknown(_)), "{error}");
}

#[tokio::test]
async fn an_order_that_is_too_late_after_connecting_is_not_sent() {
    let calls = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counted = sync::Arc::clone(&calls);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = http::Server::start(listener, http::ServerLimits::default(), move |_call| {
        counted.fetch_add(1, atomic::Ordering::SeqCst);
        async { Ok(http::json(StatusCode::OK, &"no")) }
    })
    .unwrap();
    let client = endpoint::EngineClient::new(server.address(), endpoint::Limits::default());
    let action = resource::OrderAction::SetRole { role: "decode".to_owned() };
    let order = message::Order { order: "role".to_owned(), fence: 1, action };
    let error = client.order(&order, TIMEOUT, || false).await.unwrap_err();
    assert_eq!(error, endpoint::OrderError::TooLate);
    server.stop(TIMEOUT).await;
    assert_eq!(calls.load(atomic::Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_service_reply_to_another_request_is_refused() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let limits = http::ServerLimits::default();
    let server = http::Server::start(listener, limits, |_call| async {
        let id = OTHER_ID.parse().map_err(|_| http::Aborted)?;
        let reply = message::ServiceReply { id, output: "letter".to_owned() };
        Ok(http::json(StatusCode::OK, &reply))
    })
    .unwrap();
    let client = endpoint::ServiceClient::new(server.address(), endpoint::Limits::default());
    let error = client.call(&key(), "issue-letter", "", TIMEOUT).await.unwrap_err();
    assert_eq!(error, endpoint::StartError::Protocol(Fault::Foreign(OTHER_ID.parse().unwrap())));
}
