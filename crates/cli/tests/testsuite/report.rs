//! The `report` command and its statistics.

use std::time;

use trefoildyke_cli::report;

use crate::run;

/// Returns the log lines of one request that ended 300 ms after its send.
fn request_lines(number: u64, at_ms: u64, outcome: &str, more: &str) -> String {
    let id = format!("r{number}");
    let sent = format!(
        r#"{{"at_ms":{at_ms},"host":"a","event":"sent","id":"{id}","endpoint":"i-1","send":1,"waited_ms":15,"first_ms":80,"beside":6,"age_ms":31}}"#
    );
    let finished = format!(
        r#"{{"at_ms":{},"host":"a","event":"ended","id":"{id}","route":"drafts","account":"x","version":7,"rank":{},"prompt":{},"expected":100,"cost":900,"objective_ms":300,"placer":null,"outcome":"{outcome}","status":200,"endpoint":"i-{}","sends":1,"total_ms":315,{more},"pause_ms":12,"events":20}}"#,
        at_ms + 300,
        number % 2,
        500 * (number % 5 + 1),
        number % 3,
    );
    if outcome == "overload" { format!("{finished}\n") } else { format!("{sent}\n{finished}\n") }
}

fn sample_log() -> String {
    let mut text = "not a log line\n".to_owned();
    for number in 0..20 {
        let more = r#""returning":false,"first_ms":95,"retry_ms":null"#;
        text += &request_lines(number, 1_000 + number * 100, "served", more);
    }
    text +=
        &request_lines(20, 3_000, "served", r#""returning":false,"first_ms":310,"retry_ms":null"#);
    text += &request_lines(
        21,
        3_000,
        "overload",
        r#""returning":false,"first_ms":null,"retry_ms":900"#,
    );
    text +=
        &request_lines(22, 3_100, "overload", r#""returning":true,"first_ms":null,"retry_ms":900"#);
    text +=
        &request_lines(23, 3_200, "served", r#""returning":true,"first_ms":90,"retry_ms":null"#);
    text += &request_lines(
        24,
        3_300,
        "stream_broken",
        r#""returning":false,"first_ms":90,"retry_ms":null"#,
    );
    // Requests sent without queueing: they end the waits for capacity of the refused requests.
    text +=
        &request_lines(25, 4_300, "served", r#""returning":false,"first_ms":90,"retry_ms":null"#);
    text +=
        &request_lines(26, 4_400, "served", r#""returning":false,"first_ms":90,"retry_ms":null"#);
    text
}

fn statistics(text: &str) -> report::Statistics {
    let mut requests = report::Requests::default();
    text.lines().filter_map(report::Line::parse).for_each(|line| requests.add(line));
    report::statistics(&requests.finish())
}

#[test]
fn report_counts_each_request_once_with_its_reason() {
    let directory = std::env::temp_dir().join(format!("trefoildyke-report-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let log = directory.join("a.log").display().to_string();
    let svg = directory.join("day.svg").display().to_string();
    std::fs::write(&log, sample_log()).unwrap();
    let finished = run(&["report", "--svg", &svg, &log], &[], "");
    assert_eq!(finished.code, 0, "{}", finished.stderr);
    insta::assert_snapshot!(finished.stdout);
    assert!(std::fs::read_to_string(&svg).unwrap().starts_with("<svg"));
    let json = run(&["--output", "json", "report", &log], &[], "");
    let value: serde_json::Value = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!(value["ranks"][0]["tally"]["offered"], 14);
    std::fs::write(&log, "nothing\n").unwrap();
    let empty = run(&["report", &log], &[], "");
    assert_eq!(empty.code, 2);
    assert!(empty.stderr.contains("no line reports the end of a request"), "{}", empty.stderr);
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn statistics_compare_predictions_with_observations() {
    let statistics = statistics(&sample_log());
    // Predicted 80 ms after the send, observed 75 to 295 ms after it.
    assert_eq!(statistics.first_late.p99, 215);
    assert_eq!(statistics.first_soon.p90, 5);
    assert_eq!(statistics.returned, 50);
    assert_eq!(statistics.told.p50, 900);
    // Refused at 3.3 and 3.4 s; requests of the same ranks were sent without queueing at 4.3 and 4.4 s.
    assert_eq!((statistics.free.p10, statistics.free.p99), (1_000, 1_000));
}

/// Guards against a slow report: 25,000 lines are the log of a day, which an operator should not wait for.
#[test]
fn report_reads_a_day_of_lines_quickly() {
    let more = r#""returning":false,"first_ms":95,"retry_ms":null"#;
    let text: String =
        (0..12_500).map(|number| request_lines(number, number * 4, "served", more)).collect();
    let start = time::Instant::now();
    assert_eq!(
        statistics(&text).ranks.iter().map(|group| group.tally.in_time).sum::<usize>(),
        12_500
    );
    // The bound allows for an unoptimised build and for tests that run in parallel.
    assert!(start.elapsed() < time::Duration::from_secs(3), "{:?}", start.elapsed());
}
