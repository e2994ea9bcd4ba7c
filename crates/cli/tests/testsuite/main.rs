//! Tests of the command line, run as the program against an operators' face.

#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

mod change;
mod explain;
mod report;
mod show;
mod timeline;
mod usage;

use std::{io::Write as _, process};

use testbed::operators::{Server, TOKEN};

/// Holds how the program ended and what it wrote.
#[derive(Debug)]
struct Ended {
    code: i32,
    out: String,
    err: String,
}

/// Runs the program to its end.
fn run(arguments: &[&str], environment: &[(&str, &str)], input: &str) -> Ended {
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_trefoildyke"))
        .args(arguments)
        .env_remove("TREFOILDYKE_DAEMONS")
        .env_remove("TREFOILDYKE_TOKEN")
        .envs(environment.iter().copied())
        .stdin(process::Stdio::piped())
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped())
        .spawn()
        .unwrap();
    // A program that reads no input may have ended already.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    Ended {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the program against one server.
async fn run_on(server: &Server, arguments: &[&str], input: &str) -> Ended {
    let daemons = server.address().to_string();
    let arguments: Vec<_> = arguments.iter().map(|&argument| argument.to_owned()).collect();
    let input = input.to_owned();
    let run = tokio::task::spawn_blocking(move || {
        let arguments: Vec<_> = arguments.iter().map(String::as_str).collect();
        let environment = [("TREFOILDYKE_DAEMONS", daemons.as_str()), ("TREFOILDYKE_TOKEN", TOKEN)];
        run(&arguments, &environment, &input)
    });
    run.await.unwrap()
}

/// Starts a server.
async fn server() -> Server {
    Server::new(trefoildyke_daemon::operators::Settings::default()).await.unwrap()
}

const TIER: &str = "{kind: Tier, name: urgent, spec: {rank: 0, deadline_ms: 5}}";
