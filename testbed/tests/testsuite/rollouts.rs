//! Moves to new versions, in virtual time.

use testbed::rollout::{Beside, Cell, Fault, Kind, Onset, row};

const RUNS: u64 = 20;

/// A version that fails a tenth of its answers, or takes three times as long, gets a tenth of the requests at most and nothing
/// five seconds after its fiftieth bad answer.
#[test]
fn a_version_that_is_bad_from_the_start_is_reverted_in_time() {
    for (part, kind) in [(0.1, Kind::Fails), (0.5, Kind::Fails), (1.0, Kind::Slow(3.0))] {
        let fault = Some(Fault { part, kind, onset: Onset::Start });
        for beside in [Beside::Calm, Beside::Burst] {
            let row = row(Cell { fault, beside }, RUNS);
            assert_eq!((row.reverted, row.exposed), (RUNS, 0), "{row:?}");
            assert!(row.latest_ms <= 5_000, "{row:?}");
        }
    }
}

#[test]
fn a_good_version_is_complete_in_time() {
    let row = row(Cell { fault: None, beside: Beside::Calm }, RUNS);
    assert_eq!((row.complete, row.reverted), (RUNS, 0), "{row:?}");
}

#[test]
fn a_run_repeats_from_its_seed() {
    let cell = Cell { fault: None, beside: Beside::Ill };
    assert_eq!(testbed::rollout::play(cell, 7), testbed::rollout::play(cell, 7));
}
