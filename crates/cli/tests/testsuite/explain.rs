//! The `explain` command on the logs of several hosts.

use crate::run;

const FIRST: &str = r#"{"at_ms":1000,"host":"a-1","event":"endpoint_listed","endpoint":"i-1","service":"s","draining":false}
{"at_ms":9000,"host":"a-1","event":"lost","dependency":"store: endpoints","reason":"no answer: timed out"}
{"at_ms":9500,"host":"a-1","event":"endpoint_gone","endpoint":"i-7"}
not a log line
{"at_ms":9900,"host":"a-1","event":"sent","id":"r1","endpoint":"i-1","send":1,"waited_ms":40,"first_ms":80,"beside":6,"age_ms":31}
{"at_ms":9901,"host":"a-1","event":"sent","id":"r2","endpoint":"i-2","send":1,"waited_ms":0,"first_ms":8,"beside":0,"age_ms":31}
{"at_ms":10100,"host":"a-1","event":"send_failed","id":"r1","endpoint":"i-1","failure":"lost","detail":"connection reset","next":"unknown"}
{"at_ms":10101,"host":"a-1","event":"ended","id":"r1","route":"letters","account":"cascadia","version":7,"outcome":"answer_lost","status":502,"endpoint":"i-1","sends":1,"total_ms":241,"first_ms":null,"retry_ms":null}
"#;

const SECOND: &str = r#"  12.3 b-1 {"at_ms":9950,"host":"b-1","event":"lost","dependency":"store: members","reason":"x"}
"#;

fn files() -> (std::path::PathBuf, [String; 2]) {
    let directory =
        std::env::temp_dir().join(format!("trefoildyke-explain-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let names = ["a-1.log", "b-1.log"].map(|name| directory.join(name).display().to_string());
    std::fs::write(&names[0], FIRST).unwrap();
    std::fs::write(&names[1], SECOND).unwrap();
    (directory, names)
}

#[test]
fn explain_shows_the_request_and_the_state_changes_of_its_host() {
    let (directory, [first, second]) = files();
    let finished = run(&["explain", "r1", &first, &second], &[], "");
    assert_eq!(finished.code, 0, "{}", finished.stderr);
    insta::assert_snapshot!(finished.stdout);
    let unknown = run(&["explain", "r9", &first], &[], "");
    assert_eq!(unknown.code, 2);
    assert!(unknown.stderr.contains("no line names the request r9"), "{}", unknown.stderr);
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn explain_without_log_files_names_what_is_missing() {
    let finished = run(&["explain", "r1"], &[], "");
    assert_eq!(finished.code, 2);
    assert!(finished.stderr.contains("log files"), "{}", finished.stderr);
}
