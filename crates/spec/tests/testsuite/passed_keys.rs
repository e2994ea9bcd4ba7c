//! The model of keys at a daemon that asks another daemon.

use trefoildyke_spec::belief::Times;
use trefoildyke_spec::passed_keys::{Bounds, explore, reach_served};

use crate::verdict;

/// A revoked key must stop working within five steps; a watch may miss a change for less than two.
const TIMES: Times = Times { steps: 9, bound: 5, horizon: 4, watch_gap: 2 };

const ALL: Bounds = Bounds { times: TIMES, asked: true, aged: true, counted: true };

fn counterexample(bounds: &Bounds) -> String {
    verdict::counterexample(explore(bounds))
}

#[test]
fn a_key_that_was_taken_away_stops_working_in_time_where_another_daemon_tells() {
    let report = explore(&ALL);
    println!("{} states {ALL:?}", report.states);
    assert!(report.broken.is_none(), "{}", report.broken.unwrap());
    assert!(reach_served(&ALL).is_some());
}

#[test]
fn without_counting_a_reply_from_its_question() {
    insta::assert_snapshot!(counterexample(&Bounds { asked: false, ..ALL }));
}

#[test]
fn without_the_age_of_what_is_told() {
    insta::assert_snapshot!(counterexample(&Bounds { aged: false, ..ALL }));
}

#[test]
fn without_counting_the_time_of_suspended_hosts() {
    insta::assert_snapshot!(counterexample(&Bounds { counted: false, ..ALL }));
}
