//! The model of answers.

use trefoildyke_spec::answers::{Bounds, explore, reach_whole};

use crate::verdict;

const ALL: Bounds = Bounds { tokens: 5, identifier: true, offset: true };

fn counterexample(bounds: &Bounds) -> String {
    verdict::counterexample(explore(bounds))
}

#[test]
fn the_caller_gets_its_own_answer_whole() {
    let report = explore(&ALL);
    println!("{} states {ALL:?}", report.states);
    assert!(report.broken.is_none(), "{}", report.broken.unwrap());
    assert!(reach_whole(&ALL).is_some());
}

#[test]
fn without_comparing_the_identifier() {
    insta::assert_snapshot!(counterexample(&Bounds { identifier: false, ..ALL }));
}

#[test]
fn without_comparing_the_offset() {
    insta::assert_snapshot!(counterexample(&Bounds { offset: false, ..ALL }));
}
