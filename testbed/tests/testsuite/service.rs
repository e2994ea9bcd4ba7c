//! The plain service's stand-in, through the product's own client.

use std::time::Duration;

use testbed::{service, switch};
use trefoildyke_types::id;
use trefoildyke_wire::endpoint;

const WAIT: Duration = Duration::from_secs(30);

fn key() -> id::RequestKey {
    let id = id::RequestId::chosen(uuid::Uuid::now_v7());
    id::RequestKey { account: "agec".into(), id }
}

async fn start() -> (service::Running, endpoint::ServiceClient) {
    let running = service::serve(service::Settings::default()).await.unwrap();
    let client = endpoint::ServiceClient::new(running.address(), endpoint::Limits::default());
    (running, client)
}

#[tokio::test]
async fn a_call_is_answered_and_counted() {
    let (running, client) = start().await;
    let key = key();
    let reply = client.call(&key, "issue-certificate", "weekly", WAIT).await.unwrap();
    assert_eq!((reply.id, reply.output.as_str()), (key.id, "issue-certificate: 6 bytes"));
    assert_eq!(running.ledger().starts[&key.to_string()], 1);
    running.stop().await;
}

#[tokio::test]
async fn a_call_whose_answer_is_lost_ran_and_its_outcome_is_unknown() {
    let (running, client) = start().await;
    running.set_mode(switch::Mode::new(switch::ModeKind::LoseAnswers));
    let key = key();
    let error = client.call(&key, "issue-certificate", "", WAIT).await.unwrap_err();
    assert!(matches!(error, endpoint::StartError::Unknown(_)), "{error}");
    assert_eq!(running.ledger().starts[&key.to_string()], 1);
    running.stop().await;
}

#[tokio::test]
async fn a_silent_service_is_not_waited_for_beyond_the_bound() {
    let (running, client) = start().await;
    running.set_mode(switch::Mode::new(switch::ModeKind::Silent));
    let wait = Duration::from_millis(300);
    let error = client.call(&key(), "status", "", wait).await.unwrap_err();
    assert!(matches!(error, endpoint::StartError::Unknown(_)), "{error}");
    running.stop().await;
}
