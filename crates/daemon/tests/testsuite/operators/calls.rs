//! Tests of the operators' calls and their answers.

use testbed::{operators::Server, switch};
use trefoildyke_daemon::operators;
use trefoildyke_types::{error, resource};
use trefoildyke_wire::{http, operators::Watch};

fn tier(deadline_ms: u64, resource_version: u64) -> serde_json::Value {
    serde_json::json!({
        "kind": "Tier",
        "name": "urgent",
        "spec": {"rank": 0, "deadline_ms": deadline_ms},
        "resource_version": resource_version,
    })
}

fn key() -> resource::ResourceKey {
    resource::ResourceKey { kind: resource::Kind::Tier, name: "urgent".to_owned() }
}

async fn put(server: &Server, body: &serde_json::Value) -> (u16, serde_json::Value) {
    let text = serde_json::to_vec(body).unwrap();
    let reply = server.call("PUT", "/v1/resources/Tier/urgent", &text).await.unwrap();
    (reply.status().as_u16(), http::parse(&reply).unwrap())
}

#[tokio::test]
async fn a_resource_is_created_replaced_and_deleted() {
    let server = Server::new(operators::Settings::default()).await.unwrap();
    let (status, accepted) = put(&server, &tier(5, 0)).await;
    assert_eq!((status, &accepted["version"]), (200, &1.into()));
    let (status, _) = put(&server, &tier(6, 1)).await;
    assert_eq!(status, 200);
    let stored = server.client().unwrap().get(&key()).await.unwrap();
    assert_eq!((stored.generation, stored.resource_version), (2, 2));
    let path = "/v1/resources/Tier/urgent?resource_version=1";
    assert_eq!(server.call("DELETE", path, b"").await.unwrap().status(), 409);
    let path = "/v1/resources/Tier/urgent?resource_version=2";
    assert_eq!(server.call("DELETE", path, b"").await.unwrap().status(), 200);
    let error = server.client().unwrap().get(&key()).await.unwrap_err();
    assert_eq!(error.kind, error::ErrorKind::NotFound);
}

#[tokio::test]
async fn one_of_two_racing_operators_wins_and_the_other_gets_the_version() {
    let server = Server::new(operators::Settings::default()).await.unwrap();
    put(&server, &tier(1, 0)).await;
    for version in 1..6 {
        let bodies = (tier(10, version), tier(20, version));
        let both = tokio::join!(put(&server, &bodies.0), put(&server, &bodies.1));
        let (won, lost, deadline_ms) = match both {
            ((200, won), (409, lost)) => (won, lost, 10),
            ((409, lost), (200, won)) => (won, lost, 20),
            other => panic!("{other:?}"),
        };
        assert_eq!(won["version"], version + 1);
        assert_eq!(lost["context"]["current"], version + 1);
        let stored = server.client().unwrap().get(&key()).await.unwrap();
        let spec = serde_json::to_value(&stored.spec).unwrap();
        assert_eq!(spec["spec"]["deadline_ms"], deadline_ms);
    }
}

#[tokio::test]
async fn a_list_of_resources_is_accepted_as_a_whole_or_not_at_all() {
    let server = Server::new(operators::Settings::default()).await.unwrap();
    let dangling = serde_json::json!({
        "kind": "PlannedStop", "name": "s", "spec": {"target": {"pool": "gone"}},
    });
    let client = server.client().unwrap();
    let error = client.apply(&[tier(5, 0), dangling]).await.unwrap_err();
    assert_eq!(error.context.field.as_deref(), Some("spec.target.pool"));
    assert_eq!(server.handle.snapshot().version(), 0);
    let accepted = client.apply(&[tier(5, 0)]).await.unwrap();
    assert_eq!((accepted.version, accepted.resources.len()), (1, 1));
    let deletion = serde_json::json!({"deletions": [{"key": {"kind": "Tier", "name": "urgent"}}]});
    assert_eq!(client.apply(&deletion).await.unwrap().version, 2);
    assert!(server.handle.snapshot().resources().is_empty());
}

#[tokio::test]
async fn status_is_in_force_only_once_every_live_daemon_has_reported() {
    let server = Server::new(operators::Settings::default()).await.unwrap();
    let client = server.client().unwrap();
    client.apply(&[tier(5, 0)]).await.unwrap();
    let report = |in_force, settled| {
        server.progress.send_replace(operators::Progress { in_force, settled, live: 3 });
    };
    let phase = || async { client.get(&key()).await.unwrap().status.unwrap().phase };
    report(0, 0);
    assert_eq!(phase().await, resource::Phase::Accepted);
    report(1, 0);
    assert_eq!(phase().await, resource::Phase::InForce);
    client.apply(&[tier(6, 1)]).await.unwrap();
    assert_eq!(phase().await, resource::Phase::Accepted);
}

#[tokio::test]
async fn a_planned_stop_is_stopped_only_once_it_has_ended_everywhere() {
    let server = Server::new(operators::Settings::default()).await.unwrap();
    let client = server.client().unwrap();
    let stop = serde_json::json!({
        "kind": "PlannedStop", "name": "s", "spec": {"target": {"host": "h1"}},
    });
    client.apply(&[stop]).await.unwrap();
    let key = resource::ResourceKey { kind: resource::Kind::PlannedStop, name: "s".to_owned() };
    let steps = [
        (0, 0, resource::Phase::Accepted),
        (1, 0, resource::Phase::Stopping),
        (1, 1, resource::Phase::Stopped),
    ];
    for (in_force, settled, phase) in steps {
        server.progress.send_replace(operators::Progress { in_force, settled, live: 3 });
        assert_eq!(client.get(&key).await.unwrap().status.unwrap().phase, phase);
    }
}

#[tokio::test]
async fn a_watch_answers_when_something_changes() {
    let server = Server::new(operators::Settings::default()).await.unwrap();
    let client = server.client().unwrap();
    let watch = Watch { wait_ms: 20_000, in_force: Some(0), ..Watch::default() };
    let (watched, accepted) = tokio::join!(client.watch(&watch), async {
        server.client().unwrap().apply(&[tier(5, 0)]).await.unwrap()
    });
    let watched = watched.unwrap();
    assert_eq!((watched.version, watched.resources.len()), (accepted.version, 1));
    let watch = Watch { after: 1, ..watch };
    let (watched, _) = tokio::join!(client.watch(&watch), async {
        server.progress.send_replace(operators::Progress { in_force: 1, settled: 1, live: 1 })
    });
    assert_eq!(watched.unwrap().in_force, 1);
}

#[tokio::test]
async fn a_long_list_and_a_long_watch_come_in_pages() {
    let server = Server::new(operators::Settings { page: 2, ..operators::Settings::default() })
        .await
        .unwrap();
    let client = server.client().unwrap();
    for rank in 0..5 {
        let tier = serde_json::json!({
            "kind": "Tier", "name": format!("t{rank}"), "spec": {"rank": rank, "deadline_ms": 5},
        });
        client.apply(&[tier]).await.unwrap();
    }
    let (mut names, mut after) = (Vec::new(), String::new());
    loop {
        let page = client.list(resource::Kind::Tier, &after).await.unwrap();
        names.extend(page.resources.iter().map(|resource| resource.name.clone()));
        after.clone_from(names.last().unwrap());
        if !page.more {
            break;
        }
    }
    assert_eq!(names, ["t0", "t1", "t2", "t3", "t4"]);
    let mut watch = Watch::default();
    let mut seen = 0;
    while watch.after < 5 {
        let watched = client.watch(&watch).await.unwrap();
        seen += watched.resources.len();
        watch.after = watched.version;
    }
    assert_eq!(seen, 5);
}

#[tokio::test]
async fn events_are_read_to_the_end() {
    let server = Server::new(operators::Settings::default()).await.unwrap();
    let events = server.client().unwrap().all_events(server.address(), 0).await.unwrap();
    assert_eq!(events.iter().map(|event| event.seq).collect::<Vec<_>>(), [1, 2, 3]);
}

#[tokio::test]
async fn an_outage_is_reported_and_changes_nothing() {
    let server = Server::new(operators::Settings::default()).await.unwrap();
    server.kv.set_mode(switch::Mode::new(switch::ModeKind::Down));
    let (status, body) = put(&server, &tier(5, 0)).await;
    assert_eq!((status, body["kind"].as_str()), (503, Some("unavailable")));
    server.kv.set_mode(switch::Mode::new(switch::ModeKind::Ok));
    assert_eq!(put(&server, &tier(5, 0)).await.0, 200);
}

#[tokio::test]
async fn a_client_tries_the_next_daemon() {
    let server = Server::new(operators::Settings::default()).await.unwrap();
    let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let daemons = vec![gone.local_addr().unwrap(), server.address()];
    drop(gone);
    let deadline = std::time::Duration::from_secs(20);
    let token = testbed::operators::TOKEN;
    let client = trefoildyke_wire::operators::Client::new(daemons, token, deadline).unwrap();
    assert_eq!(client.apply(&[tier(5, 0)]).await.unwrap().version, 1);
    assert_eq!(client.overview().await.unwrap().version, 1);
}
