//! The engine stand-in, through the product's own client.

use std::{net, time::Duration};

use testbed::engine;
use trefoildyke_types::{id, request, resource};
use trefoildyke_wire::endpoint::{self, message};

const WAIT: Duration = Duration::from_secs(30);

fn limits() -> endpoint::Limits {
    endpoint::Limits {
        silence: Duration::from_millis(1_500),
        give_up: Duration::from_millis(500),
        ..Default::default()
    }
}

async fn start(settings: engine::Settings) -> (engine::Running, endpoint::EngineClient) {
    let running = engine::serve(settings).await.unwrap();
    let client = endpoint::EngineClient::new(running.address(), limits());
    (running, client)
}

fn generate(max_tokens: u32) -> message::Generate {
    message::Generate {
        id: id::RequestId::chosen(uuid::Uuid::now_v7()),
        account: "cascadia".into(),
        prompt_tokens: 100,
        prefix: (1..=6).collect(),
        max_tokens,
        input: "a claimant file".to_owned(),
    }
}

/// Reads the rest of a stream and checks every token.
async fn read(
    stream: &mut endpoint::AnswerStream,
    id: &id::RequestId,
) -> Result<request::Finish, endpoint::StreamError> {
    let mut number = stream.offset();
    let mut finish = None;
    while let Some(chunk) = tokio::time::timeout(WAIT, stream.next()).await.unwrap()? {
        for text in chunk.tokens {
            assert_eq!(text, engine::token(id, number));
            number += 1;
        }
        finish = chunk.finish;
    }
    Ok(finish.unwrap())
}

/// Reads until `offset` is reached.
async fn read_to(stream: &mut endpoint::AnswerStream, offset: u64) {
    while stream.offset() < offset {
        tokio::time::timeout(WAIT, stream.next()).await.unwrap().unwrap().unwrap();
    }
}

async fn unused_address() -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn an_answer_is_whole() {
    let (running, client) = start(Default::default()).await;
    let generate = generate(30);
    let mut stream = client.start(&generate).await.unwrap();
    assert_eq!(read(&mut stream, &generate.id).await, Ok(request::Finish::Whole));
    assert_eq!((stream.offset(), stream.resumes()), (30, 0));
    let ledger = running.ledger();
    assert_eq!(ledger.starts[&generate.key().to_string()], 1);
    assert_eq!((ledger.prefilled_tokens, ledger.completed), (100, 1));
    running.stop().await;
}

#[tokio::test]
async fn a_dropped_connection_is_resumed_at_its_offset() {
    let (running, client) = start(Default::default()).await;
    let generate = generate(60);
    let mut first = client.start(&generate).await.unwrap();
    read_to(&mut first, 10).await;
    let offset = first.offset();
    drop(first);
    let mut second = client.resume(&generate.key(), offset);
    assert_eq!(read(&mut second, &generate.id).await, Ok(request::Finish::Whole));
    assert_eq!(second.offset(), 60);
    let ledger = running.ledger();
    assert_eq!((ledger.starts.len(), ledger.prefilled_tokens), (1, 100));
    running.stop().await;
}

#[tokio::test]
async fn a_silent_connection_is_replaced_and_nothing_is_started_again() {
    let (running, client) = start(Default::default()).await;
    let generate = generate(60);
    // Slow, so that the stream is still in progress when its connection goes silent.
    running.set_mode(engine::Mode::new(engine::ModeKind::Straggle).factor(20.0));
    let mut stream = client.start(&generate).await.unwrap();
    read_to(&mut stream, 5).await;
    running.set_mode(engine::Mode::new(engine::ModeKind::Silent));
    assert_eq!(read(&mut stream, &generate.id).await, Ok(request::Finish::Whole));
    assert_eq!((stream.offset(), stream.resumes()), (60, 1));
    let ledger = running.ledger();
    assert_eq!(ledger.starts[&generate.key().to_string()], 1);
    assert_eq!(ledger.prefilled_tokens, 100);
    running.stop().await;
}

#[tokio::test]
async fn a_crossed_answer_never_reaches_the_reader() {
    let (running, client) = start(Default::default()).await;
    let (mine, other) = (generate(40), generate(40));
    running.set_mode(engine::Mode::new(engine::ModeKind::Freeze));
    let mut streams = [client.start(&mine).await.unwrap(), client.start(&other).await.unwrap()];
    running.set_mode(engine::Mode::new(engine::ModeKind::Cross));
    // Every connection crosses its first chunk, so the stream is given up in the end.
    let result = read(&mut streams[0], &mine.id).await;
    assert_eq!(result, Err(endpoint::StreamError::Protocol(endpoint::Fault::Foreign(other.id))));
    running.set_mode(engine::Mode::new(engine::ModeKind::Ok));
    assert_eq!(read(&mut streams[1], &other.id).await, Ok(request::Finish::Whole));
    running.stop().await;
}

#[tokio::test]
async fn a_frozen_engine_still_beats_and_the_stream_stays() {
    let (running, _) = start(Default::default()).await;
    let limits = endpoint::Limits { silence: Duration::from_secs(3), ..limits() };
    let client = endpoint::EngineClient::new(running.address(), limits);
    let generate = generate(20);
    running.set_mode(engine::Mode::new(engine::ModeKind::Freeze));
    let mut stream = client.start(&generate).await.unwrap();
    let early = tokio::time::timeout(Duration::from_millis(4_000), stream.next()).await;
    assert!(early.is_err(), "{early:?}");
    assert_eq!(stream.resumes(), 0);
    running.set_mode(engine::Mode::new(engine::ModeKind::Ok));
    assert_eq!(read(&mut stream, &generate.id).await, Ok(request::Finish::Whole));
    running.stop().await;
}

#[tokio::test]
async fn a_cancelled_stream_says_so() {
    let (running, client) = start(Default::default()).await;
    let generate = generate(10_000);
    let mut stream = client.start(&generate).await.unwrap();
    read_to(&mut stream, 3).await;
    assert_eq!(client.cancel(&generate.key()).await, Ok(true));
    assert_eq!(read(&mut stream, &generate.id).await, Ok(request::Finish::Cancelled));
    assert_eq!(running.ledger().wasted_tokens, 100);
    running.stop().await;
}

#[tokio::test]
async fn an_unknown_stream_is_not_found() {
    let (running, client) = start(Default::default()).await;
    let mut stream = client.resume(&generate(1).key(), 0);
    assert_eq!(stream.next().await, Err(endpoint::StreamError::NotFound));
    assert_eq!(client.cancel(&generate(1).key()).await, Ok(false));
    running.stop().await;
}

#[tokio::test]
async fn a_failed_connect_proves_that_nothing_was_sent() {
    let client = endpoint::EngineClient::new(unused_address().await, limits());
    let error = client.start(&generate(1)).await.unwrap_err();
    assert!(matches!(error, endpoint::StartError::NotSent(_)), "{error}");
}

#[tokio::test]
async fn a_stream_of_a_killed_engine_is_given_up() {
    let (running, client) = start(Default::default()).await;
    let generate = generate(10_000);
    let mut stream = client.start(&generate).await.unwrap();
    read_to(&mut stream, 3).await;
    running.stop().await;
    let error = read(&mut stream, &generate.id).await.unwrap_err();
    assert!(matches!(error, endpoint::StreamError::Unreachable(_)), "{error}");
}

#[tokio::test]
async fn a_second_start_is_counted() {
    let (running, client) = start(Default::default()).await;
    let generate = generate(20);
    let _first = client.start(&generate).await.unwrap();
    let mut second = client.start(&generate).await.unwrap();
    assert_eq!(read(&mut second, &generate.id).await, Ok(request::Finish::Whole));
    assert_eq!(running.ledger().starts[&generate.key().to_string()], 2);
    running.stop().await;
}

#[tokio::test]
async fn load_and_cache_events_are_published_late() {
    let mut settings = engine::Settings::default();
    settings.params.event_loss = 0;
    settings.params.report_lag = WAIT;
    let (running, client) = start(settings).await;
    let generate = generate(10);
    let mut stream = client.start(&generate).await.unwrap();
    read(&mut stream, &generate.id).await.unwrap();
    assert_eq!(client.load().await.unwrap().cached_blocks, 0);
    let polling = async {
        loop {
            let page = client.cache_events(0).await.unwrap();
            if page.events.len() == 6 {
                return page;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let page = tokio::time::timeout(WAIT, polling).await.unwrap();
    assert_eq!(client.cache_events(page.next).await.unwrap().events, vec![]);
    running.stop().await;
}

fn order(name: &str, fence: u64) -> message::Order {
    let action = resource::OrderAction::SetRole { role: "decode".to_owned() };
    message::Order { order: name.to_owned(), fence, action }
}

#[tokio::test]
async fn an_engine_that_checks_refuses_an_old_fencing_token() {
    let (running, client) = start(Default::default()).await;
    client.order(&order("new", 9), WAIT, || true).await.unwrap();
    let stale = client.order(&order("old", 8), WAIT, || true).await;
    assert_eq!(stale, Err(endpoint::OrderError::Stale { current: 9 }));
    assert_eq!(running.ledger().orders.len(), 1);
    running.stop().await;
}

#[tokio::test]
async fn an_engine_that_does_not_check_takes_any_order() {
    let settings = engine::Settings { checks_fencing: false, ..Default::default() };
    let (running, client) = start(settings).await;
    client.order(&order("new", 9), WAIT, || true).await.unwrap();
    client.order(&order("old", 8), WAIT, || true).await.unwrap();
    assert_eq!(running.ledger().orders.len(), 2);
    running.stop().await;
}
