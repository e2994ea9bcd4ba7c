//! The clients for endpoints against servers that break the protocol.

use std::{sync, sync::atomic, time::Duration};

use hyper::StatusCode;
use trefoildyke_types::{id, request, resource};
use trefoildyke_wire::{
    endpoint::{self, Fault, StreamError, message},
    http,
};

const WAIT: Duration = Duration::from_secs(20);
const ID: &str = "0192d3a4-0000-7000-8000-000000000001";
const OTHER: &str = "0192d3a4-0000-7000-8000-000000000002";

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

fn chunk(id: &str, offset: u64, tokens: usize, whole: bool) -> request::Chunk {
    request::Chunk {
        id: id.parse().unwrap(),
        offset,
        tokens: (0..tokens).map(|_| "a ".to_owned()).collect(),
        finish: whole.then_some(request::Finish::Whole),
    }
}

/// Serves one list of chunks a connection, the last list for all further ones, and then ends the
/// stream properly, whether or not the answer is whole.
async fn serve(lists: Vec<Vec<request::Chunk>>) -> http::Server {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let count = sync::Arc::new(atomic::AtomicUsize::new(0));
    let lists = sync::Arc::new(lists);
    http::Server::start(listener, http::ServerLimits::default(), move |_call| {
        let turn = count.fetch_add(1, atomic::Ordering::SeqCst).min(lists.len() - 1);
        let lists = sync::Arc::clone(&lists);
        async move {
            let (sender, response) = http::EventSender::new(16);
            for chunk in &lists[turn] {
                sender.data(chunk).await?;
            }
            Ok(response)
        }
    })
    .unwrap()
}

/// Reads the whole stream and returns the number of tokens, and how often it was resumed.
async fn read(lists: Vec<Vec<request::Chunk>>) -> Result<(u64, u32), StreamError> {
    let server = serve(lists).await;
    let client = endpoint::EngineClient::new(server.address(), endpoint::Limits::default());
    let mut stream = client.start(&generate()).await.unwrap();
    let mut tokens = 0;
    while let Some(chunk) = tokio::time::timeout(WAIT, stream.next()).await.unwrap()? {
        tokens += chunk.tokens.len() as u64;
    }
    assert_eq!(stream.offset(), tokens);
    Ok((tokens, stream.resumes()))
}

#[tokio::test]
async fn a_gap_is_never_passed_on() {
    let gap = vec![chunk(ID, 0, 1, false), chunk(ID, 2, 2, true)];
    let whole = vec![chunk(ID, 1, 3, true)];
    assert_eq!(read(vec![gap.clone(), whole]).await, Ok((4, 1)));
    let error = read(vec![gap.clone(), vec![chunk(ID, 2, 2, true)]]).await;
    assert_eq!(error, Err(StreamError::Protocol(Fault::Gap { expected: 1, found: 2 })));
}

#[tokio::test]
async fn an_overlap_is_never_passed_on() {
    let overlap = vec![chunk(ID, 0, 2, false), chunk(ID, 1, 3, true)];
    let whole = vec![chunk(ID, 2, 2, true)];
    assert_eq!(read(vec![overlap.clone(), whole]).await, Ok((4, 1)));
    let error = read(vec![overlap, vec![chunk(ID, 0, 4, true)]]).await;
    assert_eq!(error, Err(StreamError::Protocol(Fault::Overlap { expected: 2, found: 0 })));
}

#[tokio::test]
async fn a_foreign_chunk_is_never_passed_on() {
    let foreign = vec![chunk(ID, 0, 2, false), chunk(OTHER, 2, 2, true)];
    let whole = vec![chunk(ID, 2, 2, true)];
    assert_eq!(read(vec![foreign.clone(), whole]).await, Ok((4, 1)));
    let error = read(vec![foreign, vec![chunk(OTHER, 2, 2, true)]]).await;
    assert_eq!(error, Err(StreamError::Protocol(Fault::Foreign(OTHER.parse().unwrap()))));
}

#[tokio::test]
async fn a_stream_that_ends_early_is_resumed_not_taken_for_whole() {
    let lists = vec![vec![chunk(ID, 0, 2, false)], vec![chunk(ID, 2, 2, true)]];
    assert_eq!(read(lists).await, Ok((4, 1)));
}

async fn answering(status: StatusCode) -> http::Server {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    http::Server::start(listener, http::ServerLimits::default(), move |_call| async move {
        Ok(http::json(status, &"no"))
    })
    .unwrap()
}

/// Takes every call and closes the connection without an answer.
async fn closing() -> http::Server {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let limits = http::ServerLimits::default();
    http::Server::start(listener, limits, |_call| async { Err(http::Aborted) }).unwrap()
}

#[tokio::test]
async fn a_start_says_whether_it_can_have_happened() {
    let refusing = answering(StatusCode::BAD_REQUEST).await;
    let failing = answering(StatusCode::INTERNAL_SERVER_ERROR).await;
    let closing = closing().await;
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
    closing.stop(WAIT).await;
    let client = endpoint::EngineClient::new(address, endpoint::Limits::default());
    let unsent = client.start(&generate()).await.unwrap_err();
    assert!(matches!(unsent, endpoint::StartError::NotSent(_)), "{unsent}");
}

#[tokio::test]
async fn an_order_whose_answer_is_lost_has_an_unknown_outcome() {
    let server = closing().await;
    let client = endpoint::EngineClient::new(server.address(), endpoint::Limits::default());
    let action = resource::OrderAction::SetRole { role: "decode".to_owned() };
    let order = message::Order { order: "role".to_owned(), fence: 1, action };
    let error = client.order(&order, WAIT, || true).await.unwrap_err();
    assert!(matches!(error, endpoint::OrderError::Unknown(_)), "{error}");
}

#[tokio::test]
async fn an_order_that_is_too_late_once_connected_is_not_sent() {
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
    let error = client.order(&order, WAIT, || false).await.unwrap_err();
    assert_eq!(error, endpoint::OrderError::TooLate);
    server.stop(WAIT).await;
    assert_eq!(calls.load(atomic::Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_reply_of_a_service_to_another_request_is_refused() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let limits = http::ServerLimits::default();
    let server = http::Server::start(listener, limits, |_call| async {
        let id = OTHER.parse().map_err(|_| http::Aborted)?;
        let reply = message::ServiceReply { id, output: "letter".to_owned() };
        Ok(http::json(StatusCode::OK, &reply))
    })
    .unwrap();
    let client = endpoint::ServiceClient::new(server.address(), endpoint::Limits::default());
    let error = client.call(&key(), "issue-letter", "", WAIT).await.unwrap_err();
    assert_eq!(error, endpoint::StartError::Protocol(Fault::Foreign(OTHER.parse().unwrap())));
}
