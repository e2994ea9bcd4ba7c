//! Commands that only read.

use crate::{TIER, run_on, server};

#[tokio::test]
async fn resources_and_status_are_shown_in_every_format() {
    let server = server().await;
    run_on(&server, &["apply", "-f", "-"], TIER).await;
    let progress = trefoildyke_daemon::operators::Progress { in_force: 1, settled: 1, live: 3 };
    server.progress.send_replace(progress);
    let mut shown = Vec::new();
    for format in ["table", "json", "yaml"] {
        let finished = run_on(&server, &["-o", format, "get", "Tier"], "").await;
        assert_eq!(finished.code, 0, "{finished:?}");
        shown.push(finished.stdout);
    }
    let status = run_on(&server, &["status"], "").await;
    shown.push(status.stdout.replace(&server.address().to_string(), "ADDRESS"));
    insta::assert_snapshot!(shown.join("\n"));
}

#[tokio::test]
async fn status_shows_which_daemon_does_not_answer() {
    let server = server().await;
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let daemons = ["-d", &gone.to_string(), "-d", &server.address().to_string(), "status"];
    let finished = run_on(&server, &daemons, "").await;
    assert_eq!(finished.code, 0, "{finished:?}");
    assert!(
        finished.stdout.contains("no connection") || finished.stdout.contains("connect"),
        "{finished:?}"
    );
    assert!(finished.stdout.contains("entry-1"), "{finished:?}");
}

#[tokio::test]
async fn watch_shows_changes_and_ends_after_its_time() {
    let server = server().await;
    run_on(&server, &["apply", "-f", "-"], TIER).await;
    let finished = run_on(&server, &["-o", "json", "watch", "--end-after", "1"], "").await;
    assert_eq!(finished.code, 0, "{finished:?}");
    let first: serde_json::Value = serde_json::from_str(&finished.stdout).unwrap();
    assert_eq!((&first["version"], &first["resources"][0]["name"]), (&1.into(), &"urgent".into()));
}

#[tokio::test]
async fn timeline_shows_all_events() {
    let server = server().await;
    let finished = run_on(&server, &["timeline"], "").await;
    assert_eq!(finished.code, 0, "{finished:?}");
    assert_eq!(finished.stdout.lines().count(), 4, "{finished:?}");
}
