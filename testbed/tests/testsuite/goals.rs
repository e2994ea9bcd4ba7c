//! The goal table.

use std::{fs, path};

use testbed::experiment::goals;

fn examples() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/scenarios")
}

/// Copies the examples with a short duration, so that a debug build runs them quickly.
fn shortened(name: &str) -> path::PathBuf {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).unwrap();
    for entry in fs::read_dir(examples()).unwrap() {
        let entry = entry.unwrap();
        let text = fs::read_to_string(entry.path()).unwrap();
        let lines = text.lines().map(|line| match line.split_once(':') {
            Some(("duration_ms", _)) => "duration_ms: 300".to_owned(),
            _ => line.to_owned(),
        });
        let text = lines.collect::<Vec<_>>().join("\n");
        fs::write(directory.join(entry.file_name()), text).unwrap();
    }
    directory
}

#[test]
fn every_goal_is_judged_from_a_measurement() {
    let waiting = [10, 100, 1_000];
    let suite = goals::Suite { directory: shortened("goals"), seeds: 1, threads: 2, waiting };
    let goals = goals::measure(&suite).unwrap();
    let not_run = goals.iter().filter(|goal| goal.verdict == goals::Verdict::NotRun);
    let not_run: Vec<_> = not_run.map(|goal| goal.scenario.as_str()).collect();
    assert_eq!(not_run, ["loopback"]);
    let table = goals::goal_table(&goals).to_string();
    for goal in &goals {
        assert!(table.contains(&goal.wanted), "{table}");
    }
}

#[test]
fn a_missing_scenario_is_named() {
    let waiting = [10, 100, 1_000];
    let suite = goals::Suite { directory: "nowhere".into(), seeds: 1, threads: 1, waiting };
    let error = goals::measure(&suite).unwrap_err().to_string();
    assert!(error.contains("nowhere/cascadia-stragglers.yaml"), "{error}");
    assert!(error.contains("--scenarios"), "{error}");
}
