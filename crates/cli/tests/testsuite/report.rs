//! Where goodput is lost, from the logs of several hosts.

use std::time;

use trefoildyke_cli::report;

use crate::run;

/// The lines of one request that took 300 ms from its place to its end.
fn lines(number: u64, at_ms: u64, outcome: &str, more: &str) -> String {
    let id = format!("r{number}");
    let sent = format!(
        r#"{{"at_ms":{at_ms},"host":"a","event":"sent","id":"{id}","endpoint":"i-1","send":1,"waited_ms":15,"first_ms":80,"beside":6,"age_ms":31}}"#
    );
    let ended = format!(
        r#"{{"at_ms":{},"host":"a","event":"ended","id":"{id}","route":"drafts","account":"x","version":7,"rank":{},"prompt":{},"expected":100,"cost":900,"objective_ms":300,"placer":null,"outcome":"{outcome}","status":200,"endpoint":"i-{}","sends":1,"total_ms":315,{more},"pause_ms":12,"events":20}}"#,
        at_ms + 300,
        number % 2,
        500 * (number % 5 + 1),
        number % 3,
    );
    if outcome == "overload" { format!("{ended}\n") } else { format!("{sent}\n{ended}\n") }
}

fn day() -> String {
    let mut text = "not a log line\n".to_owned();
    for number in 0..20 {
        let more = r#""returning":false,"first_ms":95,"retry_ms":null"#;
        text += &lines(number, 1_000 + number * 100, "served", more);
    }
    text += &lines(20, 3_000, "served", r#""returning":false,"first_ms":310,"retry_ms":null"#);
    text += &lines(21, 3_000, "overload", r#""returning":false,"first_ms":null,"retry_ms":900"#);
    text += &lines(22, 3_100, "overload", r#""returning":true,"first_ms":null,"retry_ms":900"#);
    text += &lines(23, 3_200, "served", r#""returning":true,"first_ms":90,"retry_ms":null"#);
    text +=
        &lines(24, 3_300, "stream_broken", r#""returning":false,"first_ms":90,"retry_ms":null"#);
    // A place that is free again, by which it is seen how long the refused would have had to wait.
    text += &lines(25, 4_300, "served", r#""returning":false,"first_ms":90,"retry_ms":null"#);
    text += &lines(26, 4_400, "served", r#""returning":false,"first_ms":90,"retry_ms":null"#);
    text
}

fn figures(text: &str) -> report::Figures {
    let mut requests = report::Requests::default();
    text.lines().filter_map(report::Line::parse).for_each(|line| requests.add(line));
    report::figures(&requests.finish())
}

#[test]
fn the_report_counts_each_request_once_and_tells_why_it_was_lost() {
    let directory = std::env::temp_dir().join(format!("trefoildyke-report-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let log = directory.join("a.log").display().to_string();
    let svg = directory.join("day.svg").display().to_string();
    std::fs::write(&log, day()).unwrap();
    let ended = run(&["report", "--svg", &svg, &log], &[], "");
    assert_eq!(ended.code, 0, "{}", ended.err);
    insta::assert_snapshot!(ended.out);
    assert!(std::fs::read_to_string(&svg).unwrap().starts_with("<svg"));
    let json = run(&["--output", "json", "report", &log], &[], "");
    let value: serde_json::Value = serde_json::from_str(&json.out).unwrap();
    assert_eq!(value["ranks"][0]["tally"]["offered"], 14);
    std::fs::write(&log, "nothing\n").unwrap();
    let empty = run(&["report", &log], &[], "");
    assert_eq!(empty.code, 2);
    assert!(empty.err.contains("no line tells of a request"), "{}", empty.err);
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn what_was_predicted_is_held_against_what_came() {
    let figures = figures(&day());
    // Predicted 80 ms from the place, observed from 75 to 295.
    assert_eq!(figures.first_late.p99, 215);
    assert_eq!(figures.first_soon.p90, 5);
    assert_eq!(figures.returned, 50);
    assert_eq!(figures.told.p50, 900);
    // Refused at 3.3 and 3.4 s; of their ranks, a place was free at 4.3 and 4.4 s.
    assert_eq!((figures.free.p10, figures.free.p99), (1_000, 1_000));
}

/// A day's lines, so that an operator does not wait for it.
#[test]
fn twenty_five_thousand_lines_are_read_in_a_second() {
    let more = r#""returning":false,"first_ms":95,"retry_ms":null"#;
    let text: String =
        (0..12_500).map(|number| lines(number, number * 4, "served", more)).collect();
    let begun = time::Instant::now();
    assert_eq!(figures(&text).ranks.iter().map(|group| group.tally.in_time).sum::<usize>(), 12_500);
    // Tests run without optimisation, beside others.
    assert!(begun.elapsed() < time::Duration::from_secs(3), "{:?}", begun.elapsed());
}
