//! Help texts, invalid command lines and exit codes.

use crate::{TIER, run, run_on, server};

#[test]
fn help_lists_commands_and_exit_codes() {
    let finished = run(&["--help"], &[], "");
    assert_eq!(finished.code, 0, "{finished:?}");
    insta::assert_snapshot!(finished.stdout);
}

#[test]
fn every_command_has_help() {
    for command in ["apply", "get", "watch", "delete", "status", "timeline", "stop", "key"] {
        let finished = run(&[command, "--help"], &[], "");
        assert_eq!(finished.code, 0, "{command}");
        assert!(finished.stdout.starts_with(&format!("Usage: trefoildyke [OPTIONS] {command}")));
    }
}

#[test]
fn invalid_command_line_exits_with_2_and_a_remedy() {
    let daemon = "127.0.0.1:1";
    let cases: [&[&str]; 9] = [
        &[],
        &["aply"],
        &["get"],
        &["-o", "xml", "get"],
        &["-d", "here", "get"],
        &["-d", daemon, "apply"],
        &["-d", daemon, "get", "Teir"],
        &["-d", daemon, "delete", "Tier"],
        &["-d", daemon, "stop"],
    ];
    let mut errors = Vec::new();
    for arguments in cases {
        let finished = run(arguments, &[("TREFOILDYKE_TOKEN", "t")], "");
        assert_eq!(
            (finished.code, finished.stdout.as_str()),
            (2, ""),
            "{arguments:?}: {finished:?}"
        );
        errors.push(format!("{arguments:?}\n    {}", finished.stderr.trim_end()));
    }
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn missing_daemon_and_token_have_exit_codes() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let gone = listener.local_addr().unwrap().to_string();
    drop(listener);
    let finished = run(&["-d", &gone, "get"], &[("TREFOILDYKE_TOKEN", "t")], "");
    assert_eq!(finished.code, 5, "{finished:?}");
    let finished = run(&["-d", &gone, "get"], &[], "");
    assert_eq!(finished.code, 8, "{finished:?}");
}

#[tokio::test]
async fn refusals_have_exit_codes() {
    let server = server().await;
    assert_eq!(run_on(&server, &["apply", "-f", "-"], TIER).await.code, 0);
    let invalid = TIER.replace("deadline_ms: 5", "deadline_ms: 0");
    assert_eq!(run_on(&server, &["apply", "-f", "-"], &invalid).await.code, 3);
    let stale = TIER.replace("deadline_ms: 5}", "deadline_ms: 6}, resource_version: 9");
    let finished = run_on(&server, &["apply", "-f", "-"], &stale).await;
    assert_eq!(finished.code, 4, "{finished:?}");
    assert!(finished.stderr.contains("(current version 1)"), "{finished:?}");
    assert_eq!(run_on(&server, &["get", "Tier/gone"], "").await.code, 7);
    let wrong = ("TREFOILDYKE_TOKEN", "wrong");
    let daemon = server.address().to_string();
    let run = tokio::task::spawn_blocking(move || run(&["-d", &daemon, "get"], &[wrong], ""));
    assert_eq!(run.await.unwrap().code, 8);
}
