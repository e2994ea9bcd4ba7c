//! The model of keys that are revoked.

use trefoildyke_spec::belief::Times;
use trefoildyke_spec::keys::{Bounds, explore, reach_refused};

use crate::verdict;

/// A revoked key must stop working within five steps; a watch may miss a change for less than two.
const TIMES: Times = Times { steps: 12, bound: 5, horizon: 4, watch_gap: 2 };

const ALL: Bounds = Bounds { times: TIMES, asked: true, counted: true, forgets: true };

fn counterexample(bounds: &Bounds) -> String {
    verdict::counterexample(explore(bounds))
}

#[test]
fn a_key_that_was_taken_away_stops_working_in_time() {
    let report = explore(&ALL);
    println!("{} states {ALL:?}", report.states);
    assert!(report.broken.is_none(), "{}", report.broken.unwrap());
    assert!(reach_refused(&ALL).is_some());
}

#[test]
fn without_counting_an_answer_from_its_question() {
    insta::assert_snapshot!(counterexample(&Bounds { asked: false, ..ALL }));
}

#[test]
fn without_counting_the_time_of_a_suspended_host() {
    insta::assert_snapshot!(counterexample(&Bounds { counted: false, ..ALL }));
}

#[test]
fn without_forgetting_at_a_restart() {
    insta::assert_snapshot!(counterexample(&Bounds { forgets: false, ..ALL }));
}

#[test]
fn without_room_for_a_deaf_watch() {
    let times = Times { horizon: 6, ..TIMES };
    let longer = Bounds { times, ..ALL };
    let hearing = Times { watch_gap: 0, ..times };
    assert!(explore(&Bounds { times: hearing, ..ALL }).broken.is_none());
    insta::assert_snapshot!(counterexample(&longer));
}
