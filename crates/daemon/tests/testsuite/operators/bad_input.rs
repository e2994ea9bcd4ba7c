//! Tests of invalid input from operators.

use proptest::prelude::*;
use testbed::operators::Server;
use trefoildyke_daemon::operators;
use trefoildyke_types::error;
use trefoildyke_wire::http;

/// Returns the kind of the error in a refusal; checks that the error has a remedy.
fn kind(reply: &hyper::Response<bytes::Bytes>) -> error::ErrorKind {
    let error: error::Error = http::parse(reply).unwrap();
    assert!(!error.remedy.is_empty());
    error.kind
}

#[tokio::test]
async fn every_call_without_the_token_is_unauthorized() {
    let server = Server::new(operators::Settings::default()).await.unwrap();
    let wrong =
        ["", "Bearer", "Bearer ", "Bearer wrong", "Basic YTpi", "bearer an operator's token"];
    for authorization in wrong {
        for (method, path) in
            [("GET", "/v1/status"), ("PUT", "/v1/resources/Tier/a"), ("GET", "/x")]
        {
            let reply = server.call_as(authorization, method, path, b"{}").await.unwrap();
            assert_eq!(reply.status(), 401, "{authorization} {path}");
            assert_eq!(kind(&reply), error::ErrorKind::Unauthorized);
        }
    }
}

#[tokio::test]
async fn wrong_paths_parameters_and_bodies_are_named() {
    let server = Server::new(operators::Settings::default()).await.unwrap();
    let tier = br#"{"kind": "Tier", "name": "b", "spec": {"rank": 0, "deadline_ms": 5}}"#;
    let cases: [(&str, &str, &[u8]); 11] = [
        ("GET", "/", b""),
        ("GET", "/v1/resources/Teir", b""),
        ("GET", "/v1/resources/Tier/a", b""),
        ("GET", "/v1/resources/Tier?limit=many", b""),
        ("GET", "/v1/watch?after=0&wait=1", b""),
        ("PUT", "/v1/resources/Tier/a", b"{"),
        ("PUT", "/v1/resources/Tier/a", tier),
        ("PUT", "/v1/resources/Tier/a", br#"{"kind": "Tier", "name": "a", "spec": {"rank": "x"}}"#),
        ("POST", "/v1/apply", b"[]"),
        ("POST", "/v1/apply", br#"[{"kind": "Tier", "name": "a", "spec": {"ranks": 1}}]"#),
        ("DELETE", "/v1/resources/Tier/a?resource_version=-1", b""),
    ];
    let mut messages = Vec::new();
    for (method, path, body) in cases {
        let reply = server.call(method, path, body).await.unwrap();
        let error: error::Error = http::parse(&reply).unwrap();
        messages.push(format!("{} {method} {path}\n    {error}", reply.status().as_u16()));
    }
    insta::assert_snapshot!(messages.join("\n"));
}

#[tokio::test]
async fn bodies_over_the_limit_are_refused() {
    let limits = operators::Settings { resource_bytes: 100, ..operators::Settings::default() };
    let server = Server::new(limits).await.unwrap();
    let reply = server.call("PUT", "/v1/resources/Tier/a", &[b' '; 101]).await.unwrap();
    assert_eq!((reply.status().as_u16(), kind(&reply)), (413, error::ErrorKind::TooLarge));
}

#[tokio::test]
async fn watches_over_the_limit_are_refused_at_once() {
    let limits = operators::Settings { watches: 0, ..operators::Settings::default() };
    let server = Server::new(limits).await.unwrap();
    let reply = server.call("GET", "/v1/watch?after=0&wait_ms=20000", b"").await.unwrap();
    assert_eq!((reply.status().as_u16(), kind(&reply)), (503, error::ErrorKind::Unavailable));
    assert_eq!(reply.headers()["retry-after"], "1");
}

/// Returns a strategy for arbitrary JSON values.
fn any_json() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(serde_json::Value::from),
        any::<i64>().prop_map(serde_json::Value::from),
        ".{0,20}".prop_map(serde_json::Value::from),
        prop::sample::select(vec!["Tier", "Endpoint", "ClientAccount"]).prop_map(Into::into),
    ];
    let name = prop_oneof![
        prop::sample::select(vec!["kind", "name", "spec", "puts", "deletions", "key", "rank"])
            .prop_map(str::to_owned),
        "[a-z]{1,8}",
    ];
    leaf.prop_recursive(4, 40, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(serde_json::Value::from),
            prop::collection::btree_map(name.clone(), inner, 0..6)
                .prop_map(|map| serde_json::Value::Object(map.into_iter().collect())),
        ]
    })
}

#[test]
fn any_call_gets_an_answer_or_a_client_error() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let server = runtime.block_on(Server::new(operators::Settings::default())).unwrap();
    let method = prop::sample::select(vec!["GET", "PUT", "POST", "DELETE", "PATCH"]);
    let path = prop_oneof![
        prop::sample::select(vec![
            "/v1/apply",
            "/v1/resources/Tier/a",
            "/v1/resources/ClientAccount/a",
            "/v1/watch?after=0",
            "/v1/events?after=99999999999999999999",
        ])
        .prop_map(str::to_owned),
        "/v1/resources/[A-Za-z0-9%._-]{0,20}(/[A-Za-z0-9%._-]{0,80})?",
        "/[a-z0-9/?&=%]{0,60}",
    ];
    let body = prop_oneof![
        any_json().prop_map(|value| serde_json::to_vec(&value).unwrap()),
        prop::collection::vec(any::<u8>(), 0..300),
    ];
    let config = ProptestConfig { cases: 400, failure_persistence: None, ..Default::default() };
    let outcome = proptest::test_runner::TestRunner::new(config).run(
        &(method, path, body),
        |(method, path, body)| {
            let reply = runtime.block_on(server.call(method, &path, &body)).unwrap();
            if !reply.status().is_success() {
                prop_assert!(reply.status().is_client_error(), "{}", reply.status());
                kind(&reply);
            }
            Ok(())
        },
    );
    outcome.unwrap();
}
