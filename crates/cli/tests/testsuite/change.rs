//! Commands that change resources.

use testbed::switch;
use trefoildyke_daemon::operators;
use trefoildyke_types::resource;

use crate::{TIER, run, run_on, server};

#[tokio::test]
async fn apply_makes_one_change_and_none_when_repeated() {
    let server = server().await;
    let two = format!("{TIER}\n---\n{{kind: Tier, name: low, spec: {{rank: 1, deadline_ms: 9}}}}");
    let finished = run_on(&server, &["apply", "-f", "-"], &two).await;
    assert_eq!(finished.code, 0, "{finished:?}");
    assert_eq!(server.handle.snapshot().version(), 1);
    let again = run_on(&server, &["apply", "-f", "-"], &two).await;
    assert_eq!(again.code, 0, "{again:?}");
    assert_eq!(server.handle.snapshot().version(), 1);
    let changed = two.replace("deadline_ms: 9", "deadline_ms: 8");
    let third = run_on(&server, &["apply", "-f", "-"], &changed).await;
    insta::assert_snapshot!([finished.stdout, again.stdout, third.stdout].join("\n"));
}

#[tokio::test]
async fn output_of_get_can_be_applied() {
    let server = server().await;
    run_on(&server, &["apply", "-f", "-"], TIER).await;
    let shown = run_on(&server, &["-o", "yaml", "get"], "").await;
    let finished = run_on(&server, &["apply", "-f", "-"], &shown.stdout).await;
    assert_eq!(finished.code, 0, "{finished:?}");
    assert!(finished.stdout.contains("unchanged"), "{finished:?}");
}

#[tokio::test]
async fn apply_with_wait_ends_only_when_the_change_is_in_force() {
    let server = server().await;
    let arguments = ["apply", "-f", "-", "--wait", "--wait-for", "1"];
    let late = run_on(&server, &arguments, TIER).await;
    assert_eq!(late.code, 9, "{late:?}");
    let arguments = ["apply", "-f", "-", "--wait", "--wait-for", "60"];
    let wait = run_on(&server, &arguments, TIER);
    let report = async {
        let progress = operators::Progress { in_force: 1, settled: 1, live: 3 };
        server.progress.send_replace(progress);
    };
    let (finished, ()) = tokio::join!(wait, report);
    assert_eq!(finished.code, 0, "{finished:?}");
}

#[tokio::test]
async fn stop_waits_until_it_is_settled() {
    let server = server().await;
    let progress = operators::Progress { in_force: 1, settled: 0, live: 3 };
    server.progress.send_replace(progress);
    let late = run_on(&server, &["stop", "--host", "h1", "--wait-for", "1"], "").await;
    assert_eq!(late.code, 9, "{late:?}");
    server.progress.send_replace(operators::Progress { settled: 1, ..progress });
    let finished = run_on(&server, &["stop", "--host", "h1", "--wait-for", "60"], "").await;
    assert_eq!(finished.code, 0, "{finished:?}");
    assert!(finished.stdout.contains("Stopped"), "{finished:?}");
    let stop = server.handle.snapshot();
    assert!(stop.resource(resource::Kind::PlannedStop, "host-h1").is_some());
}

#[tokio::test]
async fn resources_that_refer_to_each_other_are_deleted_together() {
    let server = server().await;
    let pool = "{kind: EndpointPool, name: p, spec: {protocol: {service: {}}}}\n---\n\
        {kind: Endpoint, name: w, spec: {pool: p, host: h, zone: z, address: '127.0.0.1:9'}}";
    run_on(&server, &["apply", "-f", "-"], pool).await;
    let alone = run_on(&server, &["delete", "EndpointPool/p"], "").await;
    assert_eq!(alone.code, 3, "{alone:?}");
    let both = run_on(&server, &["delete", "EndpointPool/p", "Endpoint/w"], "").await;
    assert_eq!(both.code, 0, "{both:?}");
    assert!(server.handle.snapshot().resources().is_empty());
}

#[tokio::test]
async fn unavailable_store_exits_with_5() {
    let server = server().await;
    server.kv.set_mode(switch::Mode::new(switch::ModeKind::Down));
    let refused = run_on(&server, &["apply", "-f", "-"], TIER).await;
    assert_eq!(refused.code, 5, "{refused:?}");
    server.kv.set_mode(switch::Mode::new(switch::ModeKind::Silent));
    let silent = run_on(&server, &["apply", "-f", "-"], TIER).await;
    assert_eq!(silent.code, 5, "{silent:?}");
    server.kv.set_mode(switch::Mode::new(switch::ModeKind::Ok));
    assert_eq!(server.handle.snapshot().version(), 0);
}

#[test]
fn key_prints_the_sha256_hash() {
    let finished = run(&["-o", "json", "key", "--stdin"], &[], "abc\n");
    assert_eq!(finished.code, 0, "{finished:?}");
    let hash = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert!(finished.stdout.contains(hash), "{finished:?}");
    let made = run(&["-o", "json", "key"], &[], "");
    let made: serde_json::Value = serde_json::from_str(&made.stdout).unwrap();
    let again = run(&["-o", "json", "key", "--stdin"], &[], made["key"].as_str().unwrap());
    assert!(again.stdout.contains(made["hash"].as_str().unwrap()));
}
