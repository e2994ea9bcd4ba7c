//! Tests that run the command line program against an operator API server.

#![allow(clippy::unwrap_used, reason = "helpers of tests unwrap as tests do")]

mod change;
mod explain;
mod report;
mod show;
mod timeline;
mod usage;

use std::{io::Write as _, process};

use testbed::operators::{Server, TOKEN};

/// The exit code and the output of the program.
#[derive(Debug)]
struct Finished {
    code: i32,
    stdout: String,
    stderr: String,
}

/// Runs the program until it exits.
fn run(arguments: &[&str], environment: &[(&str, &str)], input: &str) -> Finished {
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
    // The write fails if the program reads no input and has already exited.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    Finished {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the program against one server.
async fn run_on(server: &Server, arguments: &[&str], input: &str) -> Finished {
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

/// Starts an operator API server.
async fn server() -> Server {
    Server::new(trefoildyke_daemon::operators::Settings::default()).await.unwrap()
}

const TIER: &str = "{kind: Tier, name: urgent, spec: {rank: 0, deadline_ms: 5}}";
