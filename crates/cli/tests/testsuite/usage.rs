//! Help, wrong command lines and the exit codes.

use crate::{TIER, run, run_on, server};

#[test]
fn help_states_the_commands_and_the_exit_codes() {
    let ended = run(&["--help"], &[], "");
    assert_eq!(ended.code, 0, "{ended:?}");
    insta::assert_snapshot!(ended.out);
}

#[test]
fn every_command_has_help() {
    for command in ["apply", "get", "watch", "delete", "status", "timeline", "stop", "key"] {
        let ended = run(&[command, "--help"], &[], "");
        assert_eq!(ended.code, 0, "{command}");
        assert!(ended.out.starts_with(&format!("Usage: trefoildyke [OPTIONS] {command}")));
    }
}

#[test]
fn a_wrong_command_line_ends_with_2_and_the_remedy() {
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
    let mut told = Vec::new();
    for arguments in cases {
        let ended = run(arguments, &[("TREFOILDYKE_TOKEN", "t")], "");
        assert_eq!((ended.code, ended.out.as_str()), (2, ""), "{arguments:?}: {ended:?}");
        told.push(format!("{arguments:?}\n    {}", ended.err.trim_end()));
    }
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn no_daemon_and_no_token_have_their_codes() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let gone = listener.local_addr().unwrap().to_string();
    drop(listener);
    let ended = run(&["-d", &gone, "get"], &[("TREFOILDYKE_TOKEN", "t")], "");
    assert_eq!(ended.code, 5, "{ended:?}");
    let ended = run(&["-d", &gone, "get"], &[], "");
    assert_eq!(ended.code, 8, "{ended:?}");
}

#[tokio::test]
async fn refusals_have_their_codes() {
    let server = server().await;
    assert_eq!(run_on(&server, &["apply", "-f", "-"], TIER).await.code, 0);
    let invalid = TIER.replace("deadline_ms: 5", "deadline_ms: 0");
    assert_eq!(run_on(&server, &["apply", "-f", "-"], &invalid).await.code, 3);
    let stale = TIER.replace("deadline_ms: 5}", "deadline_ms: 6}, resource_version: 9");
    let ended = run_on(&server, &["apply", "-f", "-"], &stale).await;
    assert_eq!(ended.code, 4, "{ended:?}");
    assert!(ended.err.contains("(current version 1)"), "{ended:?}");
    assert_eq!(run_on(&server, &["get", "Tier/gone"], "").await.code, 7);
    let wrong = ("TREFOILDYKE_TOKEN", "wrong");
    let daemon = server.address().to_string();
    let run = tokio::task::spawn_blocking(move || run(&["-d", &daemon, "get"], &[wrong], ""));
    assert_eq!(run.await.unwrap().code, 8);
}
