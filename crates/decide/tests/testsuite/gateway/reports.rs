//! What daemons report of their work.

use trefoildyke_decide::gateway::{LoadReport, Outcome, Pool};

use super::support::{at, demand, granted, peer, pool, report};

/// Most reports tell only what has changed; the next full one makes up for what was lost.
#[test]
fn a_report_of_what_has_changed_leaves_the_rest_as_it_was() {
    let others =
        |pool: &Pool| pool.states(at(0)).iter().map(|state| state.others).collect::<Vec<_>>();
    let mut pool = pool(&["one", "two"]);
    pool.note_peer(at(0), peer(2), &report(1, &[("one", 2), ("two", 1)], 0));
    let part = LoadReport { is_full: false, ..report(2, &[("one", 1)], 0) };
    pool.note_peer(at(10), peer(2), &part);
    assert_eq!(others(&pool), [1, 1]);
    let ended = LoadReport { is_full: false, ..report(3, &[("one", 0)], 0) };
    pool.note_peer(at(20), peer(2), &ended);
    pool.note_peer(at(20), peer(3), &LoadReport { is_full: false, ..report(1, &[("two", 1)], 0) });
    assert_eq!(others(&pool), [0, 2]);
    pool.note_peer(at(30), peer(2), &report(4, &[], 0));
    assert_eq!(others(&pool), [0, 1]);
    pool.forget_peer(peer(3));
    assert_eq!(others(&pool), [0, 0]);
}

#[test]
fn only_what_has_changed_at_an_endpoint_is_told() {
    let mut pool = pool(&["one", "two"]);
    let first = granted(pool.arrive(at(0), demand(0, 0)));
    assert_eq!(pool.report(at(1), false).len(), 1);
    assert!(pool.report(at(2), false).is_empty());
    assert_eq!(pool.report(at(3), true).len(), 1);
    pool.end(at(4), &first, first.prompt, Outcome::Served);
    let told = pool.report(at(5), false);
    assert_eq!((told[0].running, told[0].learned.unwrap().served), (0, 1));
    assert!(pool.report(at(6), true).is_empty());
}
