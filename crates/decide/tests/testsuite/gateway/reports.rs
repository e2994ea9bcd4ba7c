//! The load reports of daemons.

use trefoildyke_decide::gateway::{LoadReport, Outcome, Pool};

use super::support::{at, granted, peer, pool, report, request};

/// Most reports contain only what has changed; the next full report makes up for lost ones.
#[test]
fn a_partial_report_leaves_the_other_endpoints_unchanged() {
    let others =
        |pool: &Pool| pool.states(at(0)).iter().map(|state| state.others).collect::<Vec<_>>();
    let mut pool = pool(&["one", "two"]);
    pool.apply_report(at(0), peer(2), &report(1, &[("one", 2), ("two", 1)], 0));
    let partial = LoadReport { is_full: false, ..report(2, &[("one", 1)], 0) };
    pool.apply_report(at(10), peer(2), &partial);
    assert_eq!(others(&pool), [1, 1]);
    let ended = LoadReport { is_full: false, ..report(3, &[("one", 0)], 0) };
    pool.apply_report(at(20), peer(2), &ended);
    pool.apply_report(
        at(20),
        peer(3),
        &LoadReport { is_full: false, ..report(1, &[("two", 1)], 0) },
    );
    assert_eq!(others(&pool), [0, 2]);
    pool.apply_report(at(30), peer(2), &report(4, &[], 0));
    assert_eq!(others(&pool), [0, 1]);
    pool.forget_peer(peer(3));
    assert_eq!(others(&pool), [0, 0]);
}

#[test]
fn only_changes_at_an_endpoint_are_reported() {
    let mut pool = pool(&["one", "two"]);
    let first = granted(pool.submit(at(0), request(0, 0)));
    assert_eq!(pool.report(at(1), false).len(), 1);
    assert!(pool.report(at(2), false).is_empty());
    assert_eq!(pool.report(at(3), true).len(), 1);
    pool.end_request(at(4), &first, first.prompt, Outcome::Served);
    let reported = pool.report(at(5), false);
    assert_eq!((reported[0].running, reported[0].learned.unwrap().served), (0, 1));
    assert!(pool.report(at(6), true).is_empty());
}

/// The daemon that places a service's requests learns it from the others, each time that they report all.
#[test]
fn an_endpoint_that_told_another_daemon_that_it_leaves_gets_no_requests() {
    let mut told = pool(&["one"]);
    let grant = granted(told.submit(at(0), request(0, 0)));
    assert!(told.note_leaving(at(1), &grant));
    assert!(!told.note_leaving(at(2), &grant));
    assert!(!told.accepts(at(2), &grant));
    told.end_request(at(3), &grant, grant.prompt, Outcome::Served);
    let endpoints = told.report(at(4), true);
    assert!(endpoints[0].leaving);
    assert!(told.report(at(5), false).is_empty());
    assert!(told.report(at(6), true)[0].leaving);
    let mut placing = pool(&["one", "two"]);
    placing.apply_report(at(10), peer(2), &LoadReport { endpoints, ..report(1, &[], 0) });
    for _ in 0..2 {
        assert_eq!(granted(placing.submit(at(20), request(0, 0))).endpoint.as_str(), "two");
    }
}
