//! The demo, run whole.

use testbed::demo;

#[tokio::test(flavor = "multi_thread")]
async fn everything_in_the_demo_ends_as_it_should() {
    let report = demo::run().await.unwrap();
    assert!(report.holds(), "{report}");
    assert_eq!(report.most_starts, 1);
    let kinds: Vec<_> = report.events.iter().map(|event| event.kind.as_str()).collect();
    let place = |kind| kinds.iter().position(|found| *found == kind).unwrap();
    assert!(place("accepted") < place("record"));
    assert!(place("record") < place("dispatched"));
    assert!(place("dispatched") < place("finished"));
}

#[test]
fn a_request_that_ended_otherwise_is_not_passed_over() {
    let outcome = demo::Outcome {
        class: "status".to_owned(),
        daemon: 0,
        first_ms: None,
        tokens: 0,
        ending: "lost".to_owned(),
        expected: false,
    };
    let report =
        demo::Report { version: 1, outcomes: vec![outcome], events: Vec::new(), most_starts: 1 };
    assert!(!report.holds());
    assert!(!demo::Report { outcomes: Vec::new(), most_starts: 2, ..report }.holds());
}
