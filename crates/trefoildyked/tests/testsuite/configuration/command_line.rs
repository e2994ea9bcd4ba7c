//! The command line with real daemons.

use std::{io::Write as _, path, process};

use crate::harness::{self, layout};

/// Runs `trefoildyke` and returns its exit code and standard output.
async fn run(cluster: &harness::Cluster, arguments: &[&str], input: &str) -> (i32, String) {
    let daemons: Vec<_> = cluster.daemons.iter().map(|d| d.operators.to_string()).collect();
    let binary = path::Path::new(env!("CARGO_BIN_EXE_trefoildyked")).with_file_name("trefoildyke");
    assert!(
        binary.exists(),
        "{} is missing: run `cargo test --workspace`, or `cargo build -p trefoildyke-cli` first",
        binary.display()
    );
    let mut command = process::Command::new(binary);
    command
        .args(arguments)
        .env("TREFOILDYKE_DAEMONS", daemons.join(","))
        .env("TREFOILDYKE_TOKEN", layout::TOKEN)
        .stdin(process::Stdio::piped())
        .stdout(process::Stdio::piped());
    let input = input.to_owned();
    let run = tokio::task::spawn_blocking(move || {
        let mut child = command.spawn().unwrap();
        child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
        let output = child.wait_with_output().unwrap();
        (output.status.code().unwrap(), String::from_utf8(output.stdout).unwrap())
    });
    run.await.unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operator_applies_stops_deletes_and_reads_the_timeline() {
    let cluster = harness::Cluster::start("command_line", harness::Layout::default()).await;
    let tier = "{kind: Tier, name: late, spec: {rank: 7, deadline_ms: 5}}";
    let arguments = ["apply", "-f", "-", "--wait"];
    let (code, out) = run(&cluster, &arguments, tier).await;
    assert_eq!(code, 0, "{out}");
    let (code, out) = run(&cluster, &["get", "Tier/late"], "").await;
    assert!(code == 0 && out.contains("InForce") && out.contains("3/3"), "{out}");
    let stale = tier.replace("deadline_ms: 5}", "deadline_ms: 6}, resource_version: 1");
    let (code, out) = run(&cluster, &["apply", "-f", "-"], &stale).await;
    assert_eq!(code, 4, "{out}");
    let (code, out) = run(&cluster, &["stop", "--endpoint", "engine-0"], "").await;
    assert!(code == 0 && out.contains("Stopped"), "{out}");
    let stop = ["delete", "PlannedStop/endpoint-engine-0", "Endpoint/engine-0", "--wait"];
    assert_eq!(run(&cluster, &stop, "").await.0, 0);
    let (code, out) = run(&cluster, &["status"], "").await;
    assert_eq!((code, out.lines().count()), (0, 4), "{out}");
    let client = harness::Caller::default();
    let spec = harness::caller::model_request(4);
    let outcome = client.call(cluster.daemons[1].callers, &spec).await;
    let harness::Outcome::Complete(id, _) = outcome else { panic!("{outcome:?}") };
    let id = id.to_string();
    harness::wait_until("the timeline has the request from start to end", async || {
        let (code, out) = run(&cluster, &["timeline", "--request", &id], "").await;
        assert_eq!(code, 0, "{out}");
        let (accepted, finished) = (out.find(" accepted ")?, out.find(" finished ")?);
        assert!(accepted < finished, "{out}");
        Some(())
    })
    .await;
}
